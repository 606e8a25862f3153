/** Profiles: the deployment and the traffic that a load run imitates. */
package org.hyssopswitch.load.profile;
