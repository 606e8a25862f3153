package org.hyssopswitch.core.position;

import io.vavr.control.Option;

/**
 * The status of an endpoint as its home knows it, from replies to status calls and from log positions that statements
 * report. Both come on connections of their own, so that a reply may be older than a position that came before it.
 */
public final class ObservedStatus {

    private Option<EndpointStatus> current = Option.none();
    private long reports;

    /** Returns the status; nothing before the first reply. */
    public Option<EndpointStatus> current() {
        return current;
    }

    /** Returns the number of reports so far, to be presented with the reply to a call that is sent now. */
    public long reports() {
        return reports;
    }

    /**
     * Records a reply. If a position was reported after the call was sent, the later position of the same term stays.
     *
     * @param reply the status in the reply
     * @param reportsBefore the number of reports when the call was sent
     */
    public void replied(EndpointStatus reply, long reportsBefore) {
        Option<LogPosition> known = current.map(EndpointStatus::applied);
        current = Option.some(reply);
        if (reports != reportsBefore) {
            known.forEach(this::advance);
        }
    }

    /**
     * Records a position that a statement's answer reported. It counts within the same term; a new term takes effect
     * with a full status only.
     *
     * @param position the position
     */
    public void reported(LogPosition position) {
        reports++;
        advance(position);
    }

    private void advance(LogPosition position) {
        current = current.map(s -> s.applied().term() == position.term() && position.compareTo(s.applied()) > 0
                ? new EndpointStatus(
                        s.endpoint(),
                        s.role(),
                        s.acceptedTerm(),
                        position,
                        s.termStart(),
                        s.contactAgeMillis(),
                        s.dataAgeMillis())
                : s);
    }
}
