/** Client of the platform's object API. */
package org.hyssopswitch.platform;
