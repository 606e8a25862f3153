/** Session floors, tokens and the choice of an endpoint for a statement. */
package org.hyssopswitch.core.session;
