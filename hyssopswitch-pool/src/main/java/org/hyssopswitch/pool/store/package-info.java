/** The platform's store as the product uses it: typed tables with conditional updates, and watches that recover. */
package org.hyssopswitch.pool.store;
