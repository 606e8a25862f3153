/** Authentication of callers by keys, in the core engine. */
package org.hyssopswitch.core.key;
