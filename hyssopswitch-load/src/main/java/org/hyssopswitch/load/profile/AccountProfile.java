package org.hyssopswitch.load.profile;

/**
 * A client account and its traffic.
 *
 * @param name name of the client account
 * @param ratePerSecond declared rate, statements per second
 * @param burst declared burst, statements
 * @param demandPerSecond operations that arrive in a second on average
 * @param sessions sessions open at the same time
 */
public record AccountProfile(String name, double ratePerSecond, double burst, double demandPerSecond, int sessions) {

    /** Checks the ranges. */
    public AccountProfile {
        if (!(ratePerSecond > 0) || !(burst >= 1) || !(demandPerSecond > 0) || sessions < 1) {
            throw new IllegalArgumentException("client account " + name
                    + " needs a positive rate and demand, a burst and a session, but has " + ratePerSecond + ", "
                    + demandPerSecond + ", " + burst + " and " + sessions);
        }
    }

    /** The key that stands in for a real one unless keys are given. */
    public String defaultKey() {
        return name + "-key";
    }

    /**
     * Scales the demand, not the declared rate.
     *
     * @param factor the factor, more than 0
     */
    public AccountProfile withDemandTimes(double factor) {
        return new AccountProfile(name, ratePerSecond, burst, demandPerSecond * factor, sessions);
    }

    AccountProfile ownedBy(String team) {
        return new AccountProfile(team + "." + name, ratePerSecond, burst, demandPerSecond, sessions);
    }
}
