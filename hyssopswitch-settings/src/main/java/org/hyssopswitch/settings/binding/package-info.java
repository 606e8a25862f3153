/** Strict binding of YAML and JSON to records: all mistakes are found in one pass. */
package org.hyssopswitch.settings.binding;
