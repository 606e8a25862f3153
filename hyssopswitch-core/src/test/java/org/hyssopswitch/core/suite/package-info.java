/**
 * Failure simulation of the core engine behind the PostgreSQL listener: several VMs in virtual time with in-memory
 * endpoints, platform and links, and an audit of what happened.
 */
package org.hyssopswitch.core.suite;
