package org.hyssopswitch.core.admission;

/**
 * What one holder of a client account's tokens asks another for.
 *
 * @param waiting number of operations that wait for a token
 * @param held number of tokens that the holder has
 * @param room number of tokens that its part can take
 */
public record TokenNeed(double waiting, double held, double room) {}
