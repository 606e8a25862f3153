/** Messages that carry statements from an entry VM to the home of an endpoint, and answers back. */
package org.hyssopswitch.proxy.forward;
