/** Tests of the platform client. */
package org.hyssopswitch.platform;
