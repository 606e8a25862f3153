package org.hyssopswitch.pool.store;

import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.List;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.hyssopswitch.core.store.EraObservation;
import org.hyssopswitch.core.store.StoreEraTracker;
import org.hyssopswitch.core.store.StorePosition;

/** Decides which answers of the store may be used, by the era that they report. */
public final class EraCheckUtils {

    private static final Logger LOG = LogManager.getLogger(EraCheckUtils.class);

    private EraCheckUtils() {}

    /**
     * Observes the era of an answer and returns the failure if the answer must not be used.
     *
     * @param tracker the eras observed so far
     * @param reported the eras that the answer reports
     * @param succeeded whether the store carried the call out; an error needs no era
     * @return the era of the answer
     */
    public static Either<StoreFailure, Long> check(StoreEraTracker tracker, List<String> reported, boolean succeeded) {
        return !succeeded && reported.isEmpty()
                ? Either.right(tracker.current())
                : evaluate(tracker.observe(reported), "store");
    }

    /**
     * Observes the era of what another VM has read from the store and returns the failure if it must not be used.
     *
     * @param tracker the eras observed so far
     * @param position position of what the other VM has read
     * @return the era of the position
     */
    public static Either<StoreFailure, Long> checkRelayed(StoreEraTracker tracker, StorePosition position) {
        return evaluate(tracker.observe(position.era()), "relay");
    }

    /**
     * Returns the era, or the failure if a position that a call used is void in it.
     *
     * @param positionEra era of the position that the call used
     * @param era era of the answer
     */
    public static Either<StoreFailure, Long> checkPosition(long positionEra, long era) {
        return positionEra == era ? Either.right(era) : Either.left(new StoreFailure.EraChanged(positionEra, era));
    }

    /**
     * Returns the era, or the failure if the condition of a write is void in it.
     *
     * @param expected position of the object's last change; nothing if the object must not exist, which holds in any era
     * @param era era of the answer
     */
    public static Either<StoreFailure, Long> checkExpected(Option<StorePosition> expected, long era) {
        return expected.map(position -> checkPosition(position.era(), era)).getOrElse(Either.right(era));
    }

    private static Either<StoreFailure, Long> evaluate(EraObservation observation, String source) {
        if (observation instanceof EraObservation.Outdated outdated) {
            LOG.warn(
                    "event=store_era_outdated era={} latest={} source={}",
                    outdated.reported(),
                    outdated.latest(),
                    source);
            return Either.left(new StoreFailure.OutdatedEra(outdated.latest(), outdated.reported()));
        }
        if (observation instanceof EraObservation.Unreadable unreadable) {
            LOG.warn(
                    "event=store_era_unreadable reported=\"{}\" latest={} source={}",
                    unreadable.reported(),
                    unreadable.latest(),
                    source);
            return Either.left(
                    new StoreFailure.Unavailable("the answer reports no usable era: " + unreadable.reported()));
        }
        EraObservation.Accepted accepted = (EraObservation.Accepted) observation;
        if (accepted.advanced()) {
            LOG.warn("event=store_era_advanced from={} to={} source={}", accepted.previous(), accepted.era(), source);
        }
        return Either.right(accepted.era());
    }
}
