package org.hyssopswitch.ctl;

import java.util.List;
import java.util.stream.Collectors;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.failure.Failure;
import org.hyssopswitch.core.identity.TeamId;
import org.hyssopswitch.settings.binding.SettingsFailure;
import org.hyssopswitch.settings.binding.SettingsMistake;

/** Why a command failed. */
sealed interface CtlFailure extends Failure {

    /** Exit code of the process. */
    int exitCode();

    /** Declarations, an argument or a stored value have mistakes. */
    record Invalid(SettingsFailure failure) implements CtlFailure {
        @Override
        public int exitCode() {
            return 1;
        }

        @Override
        public String describe() {
            return failure.mistakes().stream().map(SettingsMistake::describe).collect(Collectors.joining("\n"));
        }
    }

    /** An argument names something that does not exist or exists already. */
    record WrongArgument(String name, String value, String reason) implements CtlFailure {
        @Override
        public int exitCode() {
            return 1;
        }

        @Override
        public String describe() {
            return name + " '" + value + "' " + reason;
        }
    }

    /** Another operator changed the subtree meanwhile; nothing was overwritten. */
    record Conflict(TeamId team, long expectedVersion, long currentVersion, List<Difference> othersChange)
            implements CtlFailure {
        @Override
        public int exitCode() {
            return 3;
        }

        @Override
        public String describe() {
            String change = othersChange.isEmpty()
                    ? "  the declarations have no record of an earlier version; run 'hyssopctl get " + team
                            + " --into DIR' or give --base"
                    : othersChange.stream().map(d -> "  " + d.describe()).collect(Collectors.joining("\n"));
            return "team " + team + " has version " + currentVersion + ", but the change was made from version "
                    + expectedVersion + "; the other change was:\n" + change;
        }
    }

    /** The platform refused a call or did not answer. */
    record PlatformFailed(PlatformFailure failure) implements CtlFailure {
        @Override
        public int exitCode() {
            return 4;
        }

        @Override
        public String describe() {
            return failure.describe();
        }
    }

    /** The change is accepted, but some VMs do not have it in force yet. */
    record NotInForce(long version, List<String> where) implements CtlFailure {
        @Override
        public int exitCode() {
            return 5;
        }

        @Override
        public String describe() {
            return "version " + version + " is accepted, but not in force yet at:\n"
                    + where.stream().map(w -> "  " + w).collect(Collectors.joining("\n"));
        }
    }

    /** The answer to an update was lost, and the platform does not show it. */
    record OutcomeUnknown(TeamId team, long version, String reason) implements CtlFailure {
        @Override
        public int exitCode() {
            return 6;
        }

        @Override
        public String describe() {
            return "it is not known whether the change of team " + team + " will be accepted: " + reason
                    + "; the platform still has version " + version + ", run 'hyssopctl diff' before you try again";
        }
    }
}
