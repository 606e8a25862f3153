package org.hyssopswitch.core.connection;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import org.hyssopswitch.core.position.LogPosition;

/**
 * Matches the frames that a PostgreSQL endpoint sends on one connection to the frames that were sent to it.
 *
 * <p>The protocol has no message numbers. Everything sent therefore begins with a mark: a statement without text is
 * prepared with a number of parameter types, and its description repeats them. A late repetition of an earlier answer
 * begins with the mark of that answer, and what does not begin with a mark does not fit the frames that are due.
 */
public final class AnswerSequence {

    private static final String UNSOLICITED = "SN";
    private static final char NOTIFICATION = 'A';
    private static final String COPY = "GHWdc";
    private static final String TRANSACTION_STATUS = "ITE";

    private final Deque<Step> steps = new ArrayDeque<>();
    private LogPosition lastCommit = LogPosition.ZERO;
    private boolean skipping;
    private boolean queryAnswered;

    /**
     * Records that a mark was sent: Close, Parse and Describe of the same named statement without text.
     *
     * @param description the body of the ParameterDescription that answers it
     */
    public void markSent(byte[] description) {
        if (skipping) {
            return;
        }
        steps.add(new Step(Due.MARK, "3", description));
        steps.add(new Step(Due.MARK, "1", description));
        steps.add(new Step(Due.MARK, "t", description));
        steps.add(new Step(Due.MARK, "n", description));
    }

    /**
     * Records that a frame was sent. An endpoint that reported an error skips all frames up to Sync.
     *
     * @param type the type character
     * @param ofStatement whether a Describe names a statement and not a portal
     */
    public void sent(char type, boolean ofStatement) {
        skipping &= type != 'S';
        if (skipping) {
            return;
        }
        switch (type) {
            case 'P' -> add(Due.FRAME, "1");
            case 'B' -> add(Due.FRAME, "2");
            case 'C' -> add(Due.FRAME, "3");
            case 'D' -> {
                if (ofStatement) {
                    add(Due.FRAME, "t");
                }
                add(Due.FRAME, "Tn");
            }
            case 'E' -> add(Due.EXECUTION, "CIs");
            case 'Q' -> add(Due.QUERY, "CI");
            case 'S' -> add(Due.READY, "Z");
            default -> {
                // Flush and copy data have no answer of their own.
            }
        }
    }

    /**
     * Matches a frame.
     *
     * @param type the type character
     * @param body the body
     */
    public Verdict received(char type, byte[] body) {
        if (UNSOLICITED.indexOf(type) >= 0) {
            return Verdict.ANSWER;
        }
        if (steps.isEmpty()) {
            return Verdict.OUT_OF_STEP;
        }
        if (type == NOTIFICATION) {
            return Verdict.ANSWER;
        }
        if (type == 'E') {
            return failed();
        }
        Step next = steps.peek();
        boolean last = next.types().indexOf(type) >= 0;
        return switch (next.due()) {
            case MARK ->
                last && (type != 't' || Arrays.equals(next.description(), body)) ? mark() : Verdict.OUT_OF_STEP;
            case FRAME -> last ? answered() : Verdict.OUT_OF_STEP;
            case EXECUTION -> last ? answered() : during(type == 'D' || COPY.indexOf(type) >= 0);
            case QUERY -> duringQuery(type, last, body);
            case READY -> last ? ready(body) : Verdict.OUT_OF_STEP;
        };
    }

    /** Whether the endpoint may report log positions now: it does so right before ReadyForQuery. */
    public boolean mayReportPositions() {
        return !steps.isEmpty()
                && (steps.peek().due() == Due.READY || (steps.peek().due() == Due.QUERY && queryAnswered));
    }

    /**
     * Records the log position of a commit. Returns whether it lies behind all that were reported before on the
     * connection: the position of an earlier write must not stand for that of a later one.
     *
     * @param position the position
     */
    public boolean commitReported(LogPosition position) {
        if (position.compareTo(lastCommit) <= 0) {
            return false;
        }
        lastCommit = position;
        return true;
    }

    private void add(Due due, String types) {
        steps.add(new Step(due, types, new byte[0]));
    }

    private Verdict mark() {
        steps.remove();
        return Verdict.MARK;
    }

    private Verdict answered() {
        steps.remove();
        return Verdict.ANSWER;
    }

    private static Verdict during(boolean fits) {
        return fits ? Verdict.ANSWER : Verdict.OUT_OF_STEP;
    }

    private Verdict duringQuery(char type, boolean commandEnds, byte[] body) {
        if (type == 'Z') {
            return queryAnswered ? ready(body) : Verdict.OUT_OF_STEP;
        }
        queryAnswered |= commandEnds;
        return during(commandEnds || type == 'T' || type == 'D' || COPY.indexOf(type) >= 0);
    }

    private Verdict ready(byte[] body) {
        queryAnswered = false;
        boolean known = body.length == 1 && TRANSACTION_STATUS.indexOf(body[0]) >= 0;
        return known ? answered() : Verdict.OUT_OF_STEP;
    }

    /** After an error, only ReadyForQuery is due: that of the query, or that of the next Sync. A mark cannot fail. */
    private Verdict failed() {
        Due due = steps.peek().due();
        if (due == Due.MARK) {
            return Verdict.OUT_OF_STEP;
        }
        if (due == Due.QUERY) {
            queryAnswered = false;
            steps.remove();
            steps.addFirst(new Step(Due.READY, "Z", new byte[0]));
            return Verdict.ANSWER;
        }
        while (!steps.isEmpty() && steps.peek().due() != Due.READY) {
            steps.remove();
        }
        skipping = steps.isEmpty();
        return Verdict.ANSWER;
    }

    /** What a received frame is. */
    public enum Verdict {
        /** It answers a frame of the cycle, or is a report that may come at any time. */
        ANSWER,
        /** It answers the mark. */
        MARK,
        /** It answers nothing that is due: the connection must not be used any more. */
        OUT_OF_STEP
    }

    private enum Due {
        MARK,
        FRAME,
        EXECUTION,
        QUERY,
        READY
    }

    /** One answer that is due; {@code types} are the frames that end it. */
    private record Step(Due due, String types, byte[] description) {}
}
