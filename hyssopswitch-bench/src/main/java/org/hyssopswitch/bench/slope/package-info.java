/** Measures quantities at several sizes and fits lines through them. */
package org.hyssopswitch.bench.slope;
