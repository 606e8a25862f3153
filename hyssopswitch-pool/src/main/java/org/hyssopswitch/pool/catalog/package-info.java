/** The configuration in force and the endpoints that the platform lists. */
package org.hyssopswitch.pool.catalog;
