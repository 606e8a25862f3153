/**
 * The declared configuration (teams, client accounts, keys, databases and routes) and its distribution from the
 * platform to all VMs. Belongs to the engine behind the PostgreSQL listener.
 */
package org.hyssopswitch.core.configuration;
