/** Computes the capacity page from slopes and the target. */
package org.hyssopswitch.bench.capacity;
