/** Health, status and metrics over HTTP. */
package org.hyssopswitch.proxy.operations;
