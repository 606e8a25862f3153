package org.hyssopswitch.pool.session;

import io.vavr.control.Option;
import java.util.function.Consumer;
import org.hyssopswitch.core.position.LogPosition;

/** Decides when a caller may be told that a commit is kept. */
@FunctionalInterface
public interface CommitGuard {

    /** A guard under which the acknowledgement of the endpoint is enough. */
    CommitGuard NONE = (group, commit, done) -> done.accept(true);

    /**
     * Awaits until a commit that its endpoint has acknowledged outlasts every promotion.
     *
     * @param group name of the group
     * @param commit log position of the commit, or a later one of the same term; nothing if the endpoint reported none
     * @param done receives once, possibly at once, true if the commit is kept, or false if this remains unknown
     */
    void confirm(String group, Option<LogPosition> commit, Consumer<Boolean> done);
}
