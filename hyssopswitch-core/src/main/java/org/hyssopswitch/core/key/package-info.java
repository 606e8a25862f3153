/** Authentication of callers by keys. */
package org.hyssopswitch.core.key;
