/** Names under which statements are prepared on the connections to endpoints. */
package org.hyssopswitch.core.statement;
