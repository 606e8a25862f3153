/**
 * Rate limits of client accounts over all VMs, kept by leased shares of rate and burst. Belongs to the engine behind the
 * PostgreSQL listener; the pool engine uses only {@link org.hyssopswitch.core.limit.TokenBucket}.
 */
package org.hyssopswitch.core.limit;
