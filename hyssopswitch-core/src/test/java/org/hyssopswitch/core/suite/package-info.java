/** Failure suite: a few cores under virtual time with fakes of endpoints, platform and links. */
package org.hyssopswitch.core.suite;
