/** Connections to callers and endpoints, and the decision thread on which their events are handled. */
package org.hyssopswitch.proxy.net;
