/** Tests of the distribution of configurations. */
package org.hyssopswitch.core.configuration;
