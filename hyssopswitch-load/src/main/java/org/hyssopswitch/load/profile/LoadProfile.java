package org.hyssopswitch.load.profile;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Map;
import org.hyssopswitch.core.failure.HyssopException;

/**
 * A deployment with its client accounts and traffic.
 *
 * @param name name of the profile
 * @param deployment the deployment
 * @param accounts the client accounts
 * @param traffic the traffic
 */
public record LoadProfile(String name, Deployment deployment, List<AccountProfile> accounts, Traffic traffic) {

    /** The profiles that are included, by name. */
    public static final Map<String, String> INCLUDED = Map.of("maré-alta", "mare-alta.yaml", "pellets", "pellets.yaml");

    /** Copies the list. */
    public LoadProfile {
        accounts = List.copyOf(accounts);
        if (accounts.isEmpty()) {
            throw new IllegalArgumentException("profile " + name + " must have a client account");
        }
    }

    /**
     * Reads an included profile.
     *
     * @param name {@code maré-alta}, also without the accent, or {@code pellets}
     */
    public static LoadProfile included(String name) {
        String resource = INCLUDED.get(name.equals("mare-alta") ? "maré-alta" : name);
        if (resource == null) {
            throw new HyssopException("the profile must be one of " + INCLUDED.keySet() + ", but is " + name);
        }
        try (InputStream input = LoadProfile.class.getResourceAsStream("/org/hyssopswitch/load/" + resource)) {
            return mapper().readValue(input, LoadProfile.class);
        } catch (IOException e) {
            throw new HyssopException("profile " + name + " cannot be read: " + e.getMessage(), e);
        }
    }

    /**
     * Scales the demand of all client accounts, not their declared rates.
     *
     * @param factor the factor, more than 0
     */
    public LoadProfile withDemandTimes(double factor) {
        List<AccountProfile> scaled =
                accounts.stream().map(a -> a.withDemandTimes(factor)).toList();
        return new LoadProfile(name, deployment, scaled, traffic);
    }

    /**
     * Puts the databases and client accounts below a team, as declarations require.
     *
     * @param team name of the team
     */
    public LoadProfile ownedBy(String team) {
        List<AccountProfile> owned = accounts.stream().map(a -> a.ownedBy(team)).toList();
        return new LoadProfile(name, deployment.ownedBy(team), owned, traffic);
    }

    /** Operations that arrive in a second on average, over all client accounts. */
    public double demandPerSecond() {
        return accounts.stream().mapToDouble(AccountProfile::demandPerSecond).sum();
    }

    private static ObjectMapper mapper() {
        return new ObjectMapper(new YAMLFactory()).enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    }
}
