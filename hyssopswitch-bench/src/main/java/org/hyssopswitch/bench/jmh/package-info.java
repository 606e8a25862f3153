/** Microbenchmarks of the hot paths. */
package org.hyssopswitch.bench.jmh;
