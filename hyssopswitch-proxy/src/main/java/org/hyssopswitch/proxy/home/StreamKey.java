package org.hyssopswitch.proxy.home;

import org.hyssopswitch.core.identity.VmAddress;

/**
 * Identifies a stream at a home.
 *
 * @param entry the VM that opened it, with its incarnation
 * @param stream number of the stream, given by the entry VM
 */
record StreamKey(VmAddress entry, long stream) {}
