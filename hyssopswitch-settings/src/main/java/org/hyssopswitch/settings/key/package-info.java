/** Creation of keys for client accounts. */
package org.hyssopswitch.settings.key;
