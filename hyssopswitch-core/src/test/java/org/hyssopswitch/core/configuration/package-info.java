/** Tests of the spread of configurations. */
package org.hyssopswitch.core.configuration;
