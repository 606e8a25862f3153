/** The users' four measures, under each fault, for the product and for a baseline policy. */
package org.hyssopswitch.bench.measures;
