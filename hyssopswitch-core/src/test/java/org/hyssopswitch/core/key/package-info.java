/** Tests of the authentication of callers by keys. */
package org.hyssopswitch.core.key;
