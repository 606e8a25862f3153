package org.hyssopswitch.settings;

import jakarta.validation.constraints.NotBlank;
import org.hyssopswitch.settings.binding.Secret;

/**
 * The users by which a VM opens connections to endpoints.
 *
 * @param writer may read and write
 * @param reader its writes are refused by the endpoint
 */
public record EndpointUsers(User writer, User reader) {

    /** Checks that the users differ. */
    public EndpointUsers {
        if (writer.name().equals(reader.name())) {
            throw new IllegalArgumentException(
                    "writer and reader must be different users, but both are '" + writer.name() + "'");
        }
    }

    /**
     * A user of the endpoints.
     *
     * @param name its name
     * @param password its password
     */
    public record User(@NotBlank String name, Secret password) {}
}
