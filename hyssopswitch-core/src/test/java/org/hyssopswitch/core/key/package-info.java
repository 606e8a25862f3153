/** Tests of authentication by keys. */
package org.hyssopswitch.core.key;
