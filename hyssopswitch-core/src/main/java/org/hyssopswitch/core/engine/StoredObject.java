package org.hyssopswitch.core.engine;

/**
 * An object of the platform's store.
 *
 * @param path path of the object
 * @param version version of the object, which grows with every update; 0 for an object that does not exist
 * @param value the value; empty for an object that does not exist
 */
public record StoredObject(String path, long version, byte[] value) {}
