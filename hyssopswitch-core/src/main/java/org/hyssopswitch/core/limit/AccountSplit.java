package org.hyssopswitch.core.limit;

import java.util.List;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * How a client account's rate and burst are divided over data centres.
 *
 * @param rate the declared rate and burst
 * @param dataCentres the data centres with a part, in order of their names
 * @param version configuration version that last changed what the split is derived from
 */
record AccountSplit(Rate rate, List<DataCentreId> dataCentres, long version) {

    AccountSplit {
        dataCentres = List.copyOf(dataCentres);
    }

    /**
     * Splits evenly over as many of the data centres as get a whole token of burst, since a smaller part admits
     * nothing.
     */
    static AccountSplit of(ClientAccountId account, Rate rate, List<DataCentreId> dataCentres, long version) {
        List<DataCentreId> chosen = dataCentres.stream()
                .sorted(RendezvousUtils.byScore(account.value(), DataCentreId::value))
                .limit((long) Math.floor(rate.burst()))
                .sorted()
                .toList();
        return new AccountSplit(rate, chosen, version);
    }

    /** The part of a data centre. */
    RateShare part(DataCentreId dataCentre) {
        if (!dataCentres.contains(dataCentre)) {
            return RateShare.NONE;
        }
        return new RateShare(rate.perSecond(), rate.burst()).times(1.0 / dataCentres.size());
    }
}
