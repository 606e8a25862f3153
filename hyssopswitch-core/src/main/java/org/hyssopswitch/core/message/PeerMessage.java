package org.hyssopswitch.core.message;

/**
 * A message between VMs.
 *
 * <p>Implementations are records whose components are primitives, strings, byte arrays, enums, identifiers, other
 * records, lists or maps, in a fixed order. Each type is registered with a stable number in a message registry of the
 * peer module.
 */
public interface PeerMessage {}
