package org.hyssopswitch.core.message;

/**
 * A message between VMs.
 *
 * <p>Implementations are records whose components are primitives, strings, byte arrays, enums, identifiers, other
 * records, lists or maps. Each is listed with a stable number in the codec of the peer module.
 */
public interface PeerMessage {}
