/** The audit of answers: lost, doubled, stale and crossed rows. */
package org.hyssopswitch.load.audit;
