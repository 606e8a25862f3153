package org.hyssopswitch.app.fleet;

import java.util.List;
import java.util.Set;
import org.hyssopswitch.core.failure.HyssopException;
import org.hyssopswitch.core.identity.EndpointId;
import org.hyssopswitch.standin.group.DatabaseGroupServer;
import org.hyssopswitch.standin.platform.PlatformFaults;

/** A fault that is switched on in a running deployment. */
public enum FleetFault {

    /** No fault. */
    CALM {
        @Override
        public void inject(Fleet fleet) {
            // nothing to switch on
        }
    },

    /** The primary of the first database is cut off from its replicas; clients still reach it. */
    PRIMARY_CUT {
        @Override
        public void inject(Fleet fleet) {
            DatabaseGroupServer group = fleet.firstGroup();
            group.faults().partition(List.of(Set.of(primary(group))));
        }
    },

    /** The primary of the first database closes its connections and refuses new ones. */
    PRIMARY_CRASH {
        @Override
        public void inject(Fleet fleet) {
            DatabaseGroupServer group = fleet.firstGroup();
            group.faults().crash(primary(group));
        }
    },

    /** The primary of the first database accepts connections and answers nothing. */
    PRIMARY_FROZEN {
        @Override
        public void inject(Fleet fleet) {
            DatabaseGroupServer group = fleet.firstGroup();
            group.faults().freeze(primary(group));
        }
    },

    /** Every answer of the first database's primary is delayed by 100 ms. */
    SLOW_ANSWERS {
        @Override
        public void inject(Fleet fleet) {
            DatabaseGroupServer group = fleet.firstGroup();
            group.faults().setSlowMillis(primary(group), SLOW_MILLIS);
        }
    },

    /** The replicas of all databases receive entries 300 ms late. */
    REPLICAS_LAG {
        @Override
        public void inject(Fleet fleet) {
            for (DatabaseGroupServer group : fleet.groups().values()) {
                EndpointId primary = primary(group);
                group.endpoints().stream().filter(e -> !e.equals(primary)).forEach(e -> group.faults()
                        .setLagMillis(e, LAG_MILLIS));
            }
        }
    },

    /** One VM dies. */
    VM_KILLED {
        @Override
        public void inject(Fleet fleet) {
            fleet.kill(0);
        }
    },

    /** One VM is shut down gracefully. */
    VM_DRAINED {
        @Override
        public void inject(Fleet fleet) {
            fleet.drain(0);
        }
    },

    /** The platform answers no call. */
    PLATFORM_DOWN {
        @Override
        public void inject(Fleet fleet) {
            fleet.platform().faults().setOutage(PlatformFaults.Outage.SILENT);
        }
    },

    /** The platform answers no call, and the primary of the first database is cut off. */
    PLATFORM_DOWN_PRIMARY_CUT {
        @Override
        public void inject(Fleet fleet) {
            PLATFORM_DOWN.inject(fleet);
            PRIMARY_CUT.inject(fleet);
        }
    };

    private static final long SLOW_MILLIS = 100;
    private static final long LAG_MILLIS = 300;

    /**
     * Switches the fault on.
     *
     * @param fleet the deployment
     */
    public abstract void inject(Fleet fleet);

    private static EndpointId primary(DatabaseGroupServer group) {
        return group.primary()
                .orElseThrow(
                        () -> new HyssopException("database " + group.settings().database() + " has no primary"));
    }
}
