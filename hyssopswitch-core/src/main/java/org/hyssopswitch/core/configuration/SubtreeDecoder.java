package org.hyssopswitch.core.configuration;

import io.vavr.control.Either;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.TeamId;

/** Decodes the value of a team's object. */
@FunctionalInterface
public interface SubtreeDecoder {

    /**
     * Decodes a value.
     *
     * @param team the team
     * @param version version of the object
     * @param value the value; not empty
     */
    Either<? extends Failure, TeamConfiguration> decode(TeamId team, long version, byte[] value);
}
