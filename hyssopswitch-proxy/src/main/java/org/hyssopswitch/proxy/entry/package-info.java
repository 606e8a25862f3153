/** The callers' side: authentication, sessions, routing and forwarding of statement cycles. */
package org.hyssopswitch.proxy.entry;
