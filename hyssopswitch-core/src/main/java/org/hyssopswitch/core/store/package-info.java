/**
 * Positions in the platform's store and the era that tells apart revisions given out before and after the store came
 * back from a copy.
 */
package org.hyssopswitch.core.store;
