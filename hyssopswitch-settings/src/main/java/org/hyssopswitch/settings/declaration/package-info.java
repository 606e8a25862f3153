/** The declarations of teams: databases, client accounts with their keys, and routes. */
package org.hyssopswitch.settings.declaration;
