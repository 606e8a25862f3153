package org.hyssopswitch.core.configuration;

import java.util.Map;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.TeamId;

/** The state of a VM's configuration. Confined to the decision thread. */
public interface ConfigurationStatus {

    /** Returns the version in force on this VM; 0 for none. */
    long version();

    /** Returns the highest version that is in force on this VM or that a peer has announced. */
    long highestKnownVersion();

    /**
     * Returns the time since the version in force was last confirmed to be the latest.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @return milliseconds; {@link Long#MAX_VALUE} if it was never confirmed
     */
    long ageMillis(long nowMillis);

    /** Whether the VM may serve: it has a configuration, and no peer reached at startup has announced a later one. */
    boolean isReady();

    /** Returns the teams whose latest subtree cannot be decoded; their last decodable subtree stays in force. */
    Map<TeamId, Failure> rejectedTeams();
}
