package org.hyssopswitch.pool.testing;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.hyssopswitch.core.message.PeerMessage;
import org.hyssopswitch.pool.peer.PeerLinks;

/** The links between some VMs, with network partitions and lost messages. */
public final class FakePeerNetwork {

    private static final long DELIVERY_MILLIS = 2;

    private final ManualLoop loop;
    private final Map<String, BiConsumer<String, PeerMessage>> receivers = new LinkedHashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private final Set<Class<? extends PeerMessage>> dropNextTypes = new HashSet<>();
    private long sent;

    /** Creates a network without VMs. */
    public FakePeerNetwork(ManualLoop loop) {
        this.loop = loop;
    }

    /** Adds a VM. */
    public PeerLinks join(String vm, BiConsumer<String, PeerMessage> receiver) {
        receivers.put(vm, receiver);
        return new Links(vm);
    }

    /** Partitions a VM from all others, or ends the partition. */
    public void setPartitioned(String vm, boolean partition) {
        if (partition) {
            partitioned.add(vm);
        } else {
            partitioned.remove(vm);
        }
    }

    /** Returns the number of messages that were sent. */
    public long sentCount() {
        return sent;
    }

    /** Drops the next message of a type. */
    public void dropNext(Class<? extends PeerMessage> type) {
        dropNextTypes.add(type);
    }

    private final class Links implements PeerLinks {

        private final String self;

        Links(String self) {
            this.self = self;
        }

        @Override
        public void send(String vm, PeerMessage message) {
            sent++;
            if (dropNextTypes.remove(message.getClass())) {
                return;
            }
            loop.schedule(DELIVERY_MILLIS, () -> {
                BiConsumer<String, PeerMessage> receiver = receivers.get(vm);
                if (receiver != null && !partitioned.contains(vm) && !partitioned.contains(self)) {
                    receiver.accept(self, message);
                }
            });
        }

        @Override
        public void sendToSubset(PeerMessage message) {
            names().forEach(name -> send(name, message));
        }

        @Override
        public Collection<String> names() {
            return receivers.keySet().stream()
                    .filter(name -> !name.equals(self))
                    .toList();
        }

        @Override
        public String toString() {
            return "Links" + List.of(self);
        }
    }
}
