/** The endpoints' side: connection pools, slots, held acknowledgements and control calls. */
package org.hyssopswitch.proxy.home;
