/** Benchmarks, slopes and the capacity page. */
package org.hyssopswitch.bench;
