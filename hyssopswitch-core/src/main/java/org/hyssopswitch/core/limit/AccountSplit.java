package org.hyssopswitch.core.limit;

import java.util.List;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DataCentreId;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * The division of a client account's rate and burst over data centres.
 *
 * @param rate the declared rate and burst of the account
 * @param dataCentres the data centres that get a part, in order of their names
 * @param version the configuration version that last changed the databases or the declaration that the split is derived
 *     from
 */
record AccountSplit(Rate rate, List<DataCentreId> dataCentres, long version) {

    AccountSplit {
        dataCentres = List.copyOf(dataCentres);
    }

    /**
     * Divides the rate evenly over at most as many data centres as the burst has whole tokens: a part with less than
     * one token of burst would never admit a statement. Where there are more data centres, rendezvous hashing on the
     * account chooses among them.
     */
    static AccountSplit of(ClientAccountId account, Rate rate, List<DataCentreId> dataCentres, long version) {
        List<DataCentreId> chosen = dataCentres.stream()
                .sorted(RendezvousUtils.byScore(account.value(), DataCentreId::value))
                .limit((long) Math.floor(rate.burst()))
                .sorted()
                .toList();
        return new AccountSplit(rate, chosen, version);
    }

    /** Returns the part of a data centre, {@link RateShare#NONE} when it has none. */
    RateShare part(DataCentreId dataCentre) {
        if (!dataCentres.contains(dataCentre)) {
            return RateShare.NONE;
        }
        return new RateShare(rate.perSecond(), rate.burst()).times(1.0 / dataCentres.size());
    }
}
