/** The declared configuration: teams, client accounts, keys, databases and routes. */
package org.hyssopswitch.core.configuration;
