/** The failure family shared by all modules. */
package org.hyssopswitch.core.failure;
