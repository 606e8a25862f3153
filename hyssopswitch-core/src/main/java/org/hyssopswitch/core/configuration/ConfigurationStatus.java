package org.hyssopswitch.core.configuration;

import java.util.Map;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.TeamId;

/** What a VM knows about its configuration. Confined to the decision thread. */
public interface ConfigurationStatus {

    /** The version in force on this VM; 0 for none. */
    long version();

    /** The highest version that this VM has heard of. */
    long highestKnownVersion();

    /**
     * The time since the version in force was known to be the latest.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @return milliseconds; {@link Long#MAX_VALUE} when it never was
     */
    long ageMillis(long nowMillis);

    /** Whether the VM may serve: it has a configuration, and no one that it reached at its start knows a later one. */
    boolean isReady();

    /** Subtrees whose latest value cannot be read; the last one that could stays in force. */
    Map<TeamId, Failure> rejectedTeams();
}
