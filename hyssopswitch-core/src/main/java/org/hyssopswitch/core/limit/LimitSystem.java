package org.hyssopswitch.core.limit;

import io.vavr.control.Option;
import java.util.HashSet;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.hyssopswitch.core.configuration.Configuration;
import org.hyssopswitch.core.engine.Action;
import org.hyssopswitch.core.engine.DecisionSystem;
import org.hyssopswitch.core.engine.Event;
import org.hyssopswitch.core.engine.Outbox;
import org.hyssopswitch.core.failure.Refusal;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.VmAddress;
import org.hyssopswitch.core.membership.MembershipView;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * Keeps each client account within its rate and burst over all VMs together, by shares that are lent and confirmed.
 *
 * <p>A VM plays two parts: it holds shares for its own callers, and it lends the rates of the client accounts whose
 * slots it owns in its data centre.
 */
public final class LimitSystem implements DecisionSystem, RateLimiter {

    private final MembershipView view;
    private final LimitSettings settings;
    private final SlotLocator locator;
    private final SlotOwnership ownership;
    private final ShareLender lender;
    private final ShareHolder holder;
    private final SplitTable splits;

    /**
     * Creates a system that admits nothing until it is configured and has been lent shares.
     *
     * @param view the VMs that this VM knows
     * @param settings times and sizes
     * @param callNumbers numbers for calls to the platform, unique on this VM
     * @param random source of the jitter of retries
     */
    public LimitSystem(MembershipView view, LimitSettings settings, LongSupplier callNumbers, RandomGenerator random) {
        this.view = view;
        this.settings = settings;
        this.splits = new SplitTable(settings.slots());
        this.locator = new SlotLocator(view, splits);
        this.ownership = new SlotOwnership(view, settings, splits, locator, callNumbers, random);
        this.lender = new ShareLender(view, settings, splits, ownership, locator);
        this.holder = new ShareHolder(view, settings, splits, locator);
    }

    @Override
    public Option<Refusal> tryAcquire(ClientAccountId account, long nowMillis) {
        return holder.tryAcquire(account, nowMillis);
    }

    @Override
    public Admission admit(ClientAccountId account, long firstAskedMillis, long nowMillis) {
        return holder.admit(account, firstAskedMillis, nowMillis);
    }

    @Override
    public void tick(long nowMillis, Outbox out) {
        Outbox loop = loopBack(nowMillis, out);
        ownership.tick(lender, nowMillis, out);
        lender.tick(nowMillis, loop);
        holder.tick(nowMillis, loop);
    }

    @Override
    public void handle(Event event, long nowMillis, Outbox out) {
        if (event instanceof Event.ObjectCallCompleted answered) {
            ownership.handle(answered, nowMillis);
        } else if (event instanceof Event.MessageReceived received) {
            receive(received.from(), received.message(), nowMillis, loopBack(nowMillis, out));
        }
    }

    @Override
    public void configure(Configuration configuration, long nowMillis, Outbox out) {
        long former = splits.version();
        Set<ClientAccountId> moved = splits.apply(configuration);
        Set<Integer> movedSlots = new HashSet<>();
        moved.forEach(a -> movedSlots.add(SlotUtils.slotOf(a, settings.slots())));
        locator.clearCandidates();
        ownership.configure(former, movedSlots);
        lender.configure(moved, nowMillis);
    }

    /**
     * Gives up all slots, and returns the shares that callers of this VM no longer use. To be called again until
     * {@link #isReleased}.
     *
     * @param nowMillis milliseconds of the monotonic clock
     * @param out takes the actions to perform
     */
    public void releaseSlots(long nowMillis, Outbox out) {
        holder.returnUnused(nowMillis, loopBack(nowMillis, out));
        ownership.releaseAll();
    }

    /** Whether no share is held and the platform's records no longer name this VM as the owner of a slot. */
    public boolean isReleased() {
        return ownership.isReleased() && holder.accountCount() == 0;
    }

    /** The slots that this VM owns. */
    public long ownedSlots() {
        return ownership.ownedSlots();
    }

    /** What this VM holds of a client account's rate and burst. */
    RateShare heldShare(ClientAccountId account, long nowMillis) {
        return holder.heldShare(account, nowMillis);
    }

    /** The client accounts that this VM lends from. */
    public int lentAccounts() {
        return lender.accountCount();
    }

    /** The client accounts that callers of this VM use. */
    public int heldAccounts() {
        return holder.accountCount();
    }

    /** Delivers messages of this VM to itself at once, since it may hold what it lends. */
    private Outbox loopBack(long nowMillis, Outbox out) {
        return action -> {
            if (action instanceof Action.SendMessage send && send.to().equals(view.self())) {
                receive(send.to(), send.message(), nowMillis, loopBack(nowMillis, out));
            } else {
                out.add(action);
            }
        };
    }

    private void receive(VmAddress from, PeerMessage message, long nowMillis, Outbox out) {
        if (message instanceof ShareRequest request) {
            lender.handle(from, request, nowMillis, out);
        } else if (message instanceof ShareGrant grant) {
            holder.handle(from, grant, nowMillis);
        } else if (message instanceof ShareRecall recall) {
            holder.handle(from, recall, nowMillis, out);
        } else if (message instanceof SlotRedirect redirect) {
            holder.handle(redirect);
        } else if (message instanceof SettleRequest settle && settle.slot() < settings.slots()) {
            ownership.requestSettlement(settle.slot(), settle.version());
        }
    }
}
