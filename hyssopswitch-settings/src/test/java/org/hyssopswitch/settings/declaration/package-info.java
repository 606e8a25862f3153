/** Tests of the declarations of teams. */
package org.hyssopswitch.settings.declaration;
