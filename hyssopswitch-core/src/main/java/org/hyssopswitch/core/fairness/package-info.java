/** Fair queueing of statements at an endpoint's home. */
package org.hyssopswitch.core.fairness;
