package org.hyssopswitch.load;

/**
 * How far a run has come.
 *
 * @param elapsedMillis milliseconds since the first arrival
 * @param arrived operations that have arrived
 * @param ended operations that have ended
 * @param breaches breaches found so far
 */
public record LoadProgress(long elapsedMillis, long arrived, long ended, long breaches) {}
