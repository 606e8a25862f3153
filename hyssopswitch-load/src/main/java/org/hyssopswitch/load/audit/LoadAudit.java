package org.hyssopswitch.load.audit;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/** Checks answers while the load runs and the ledgers afterwards. Thread-safe. */
public final class LoadAudit {

    private static final int MAX_DETAILS = 100;

    private final Map<LedgerRequest, Outcome> outcomes = new HashMap<>();
    private final Map<LedgerRequest, LedgerRequest> partners = new HashMap<>();
    private final Map<FindingKind, Long> counts = new EnumMap<>(FindingKind.class);
    private final List<Finding> details = new ArrayList<>();
    private long reads;

    /**
     * Notes rows that are about to be sent; until their outcome is noted it counts as unknown.
     *
     * @param requests one row, or the two rows of a transaction
     */
    public synchronized void issued(List<LedgerRequest> requests) {
        requests.forEach(r -> outcomes.put(r, Outcome.UNKNOWN));
        if (requests.size() == 2) {
            partners.put(requests.get(0), requests.get(1));
        }
    }

    /**
     * Notes the outcome of rows.
     *
     * @param requests the rows
     * @param outcome the outcome
     */
    public synchronized void ended(List<LedgerRequest> requests, Outcome outcome) {
        requests.forEach(r -> outcomes.put(r, outcome));
    }

    /**
     * Checks the answer of a read.
     *
     * @param check the read
     */
    public synchronized void read(ReadCheck check) {
        reads++;
        if (check.answer().isEmpty()) {
            if (check.floor() > 0) {
                find(FindingKind.STALE, check + ": no row");
            }
            return;
        }
        ReadCheck.ReadAnswer answer = check.answer().get();
        Optional<RowValue> value = RowValue.decode(answer.value());
        boolean own = answer.request().equals(check.request())
                && answer.key().equals(check.key())
                && value.filter(v -> v.key().equals(check.key())).isPresent();
        if (!own) {
            find(FindingKind.CROSSED, check.toString());
        } else if (value.orElseThrow().sequence() < check.floor()) {
            find(FindingKind.STALE, check.toString());
        }
    }

    /**
     * Compares the ledger of a client account with what was sent.
     *
     * @param database the database
     * @param account the client account
     * @param rows all rows of the account in the database
     */
    public synchronized void reconcile(String database, String account, List<LedgerRequest> rows) {
        Map<LedgerRequest, Long> seen =
                rows.stream().collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
        seen.forEach((row, count) -> checkRow(row, count, database, account));
        outcomes.forEach((request, outcome) -> {
            boolean concerned =
                    request.database().equals(database) && request.account().equals(account);
            if (concerned && outcome == Outcome.ACKNOWLEDGED && !seen.containsKey(request)) {
                find(FindingKind.LOST, request.toString());
            }
        });
        partners.forEach((first, second) -> {
            boolean concerned =
                    first.database().equals(database) && first.account().equals(account);
            if (concerned && seen.containsKey(first) != seen.containsKey(second)) {
                find(FindingKind.PARTIAL, first + " and " + second);
            }
        });
    }

    /** Breaches by kind; kinds without any are left out. */
    public synchronized Map<FindingKind, Long> counts() {
        return Map.copyOf(counts);
    }

    /** The first breaches, at most 100. */
    public synchronized List<Finding> details() {
        return List.copyOf(details);
    }

    /** Reads checked. */
    public synchronized long reads() {
        return reads;
    }

    /** Ledger rows by outcome. */
    public synchronized Map<Outcome, Long> ledgerOutcomes() {
        return outcomes.values().stream().collect(Collectors.groupingBy(Function.identity(), Collectors.counting()));
    }

    private void checkRow(LedgerRequest row, long count, String database, String account) {
        Optional<Outcome> outcome = Optional.ofNullable(outcomes.get(row));
        if (outcome.isEmpty()) {
            find(FindingKind.CROSSED, row + " in the ledger of " + account + " in " + database + " was not sent there");
        } else if (outcome.get() != Outcome.ACKNOWLEDGED && outcome.get() != Outcome.UNKNOWN) {
            find(FindingKind.UNTRUE_REFUSAL, row + " ended as " + outcome.get());
        }
        if (count > 1) {
            find(FindingKind.DOUBLED, row + " is there " + count + " times");
        }
    }

    private void find(FindingKind kind, String detail) {
        counts.merge(kind, 1L, Long::sum);
        if (details.size() < MAX_DETAILS) {
            details.add(new Finding(kind, detail));
        }
    }
}
