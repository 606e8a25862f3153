/** Measures ways to exchange configurations between VMs. */
package org.hyssopswitch.bench.configuration;
