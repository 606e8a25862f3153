/** Steps the decision cores of many VMs under virtual time and counts what they send and call. */
package org.hyssopswitch.bench.fleet;
