package org.hyssopswitch.core.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.CallIdSequence;
import org.hyssopswitch.core.engine.PlatformFailure;
import org.hyssopswitch.core.engine.StoredObject;
import org.hyssopswitch.core.identity.DatabaseId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class LeaseClaimTests {

    private static final String PATH = "failover/renewals";

    private final List<Action> actions = new ArrayList<>();
    private final LeaseClaim claim = new LeaseClaim(new DatabaseId("renewals"), "vm1/1", 3, new CallIdSequence());

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "empty, written | HELD",
                "other 3, written | HELD",
                "other 4 | TAKEN",
                "own 4, written | HELD",
                "unreadable, written | HELD",
                "empty, conflict | TAKEN",
                "empty, lost, own 4 | HELD",
                "empty, lost, other 4 | TAKEN",
                "empty, lost, empty | TAKEN",
                "lost | UNREACHABLE",
                "empty, throttled | UNREACHABLE",
                "late, empty, written | HELD",
                "empty | PENDING"
            })
    void endsAsTheAnswersOfThePlatformSay(String answers, LeaseClaim.State expected) {
        claim.start(actions::add);
        for (String answer : answers.split(", ")) {
            long number = answer.equals("late") ? 99 : actions.size();
            claim.answered(number, result(answer), false, actions::add);
        }
        assertEquals(expected, claim.state());
    }

    private static Either<PlatformFailure, StoredObject> result(String answer) {
        return switch (answer) {
            case "lost", "late" -> Either.left(new PlatformFailure.NoAnswer(PATH, "lost"));
            case "conflict" -> Either.left(new PlatformFailure.VersionConflict(PATH, 9));
            case "throttled" -> Either.left(new PlatformFailure.Throttled(PATH, 10));
            case "other 3" -> stored(new FailoverLease("vm2/1", 3).encode());
            case "other 4" -> stored(new FailoverLease("vm2/1", 4).encode());
            case "own 4", "written" -> stored(new FailoverLease("vm1/1", 4).encode());
            case "unreadable" -> stored(new byte[] {1, 2, 3});
            default -> stored(new byte[0]);
        };
    }

    private static Either<PlatformFailure, StoredObject> stored(byte[] value) {
        return Either.right(new StoredObject(PATH, 7, value));
    }
}
