/** Sessions of callers: their values, prepared statements and transactions, and how each statement is run. */
package org.hyssopswitch.pool.session;
