package org.hyssopswitch.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.placement.RendezvousUtils;

/**
 * Chooses the VMs that hold a client account's tokens, for many small accounts whose callers are spread over more VMs
 * than they send operations a second.
 *
 * <p>Split over all VMs, the tokens of such an account lie in fractions where nobody needs them, and operations within
 * the rate are refused. One VM per data centre therefore holds the data centre's part, or fewer VMs where the parts would
 * be too small to be of use. The parts add up to the rate and the burst, so that no loss of VMs or messages lets an
 * account exceed them.
 */
public final class TokenHolderUtils {

    /** Smallest burst of a part, in tokens: with less, two operations that arrive together need two holders. */
    private static final double MIN_PART_BURST_TOKENS = 2;

    /**
     * Smallest burst of a part, in tokens, where there are more than two: tokens that accrue at a holder whose part is full
     * are lost, and small parts are full more often.
     */
    private static final double MIN_FURTHER_PART_BURST_TOKENS = 8;

    private TokenHolderUtils() {}

    /**
     * Returns the VMs that hold equal parts of an account's rate and burst.
     *
     * @param account name of the client account
     * @param rate the limit of the whole fleet
     * @param dataCentreOf data centre by name of the VM
     */
    public static List<String> choose(String account, Rate rate, Map<String, String> dataCentreOf) {
        Map<String, Candidate> highestOf = new TreeMap<>();
        dataCentreOf.forEach((vm, dataCentre) ->
                highestOf.merge(dataCentre, new Candidate(vm, RendezvousUtils.score(account, vm)), Candidate::higher));
        int parts = Math.min(highestOf.size(), parts(rate.burst()));
        return highestOf.keySet().stream()
                .sorted(RendezvousUtils.byScore(account, dataCentre -> dataCentre))
                .limit(parts)
                .map(dataCentre -> highestOf.get(dataCentre).vm())
                .toList();
    }

    /** Returns the number of parts: two or more where possible, so that the loss of a holder stops no account. */
    private static int parts(double burst) {
        int atMostTwo = (int) Math.max(1, Math.min(2, burst / MIN_PART_BURST_TOKENS));
        return Math.max(atMostTwo, (int) (burst / MIN_FURTHER_PART_BURST_TOKENS));
    }

    /**
     * Returns the holders in the order in which a VM asks them: that of its own data centre first, the others in an order
     * that differs between data centres, so that no holder is the second choice of all.
     *
     * @param account name of the client account
     * @param holders the holders
     * @param dataCentre data centre of the VM
     * @param dataCentreOf data centre by name of the VM
     */
    public static List<String> inOrderOf(
            String account, List<String> holders, String dataCentre, Map<String, String> dataCentreOf) {
        List<String> ordered = new ArrayList<>(holders);
        ordered.sort(RendezvousUtils.byScore(account + " " + dataCentre, (String vm) -> vm));
        ordered.sort((one, other) -> Boolean.compare(
                !dataCentre.equals(dataCentreOf.get(one)), !dataCentre.equals(dataCentreOf.get(other))));
        return List.copyOf(ordered);
    }

    private record Candidate(String vm, long score) {

        Candidate higher(Candidate other) {
            int order = Long.compare(score, other.score);
            return order > 0 || (order == 0 && vm.compareTo(other.vm) < 0) ? this : other;
        }
    }
}
