/** YAML settings and declarations, read and validated. */
package org.hyssopswitch.settings;
