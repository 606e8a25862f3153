/** Tests of the measurements of configurations. */
package org.hyssopswitch.bench.configuration;
