package org.hyssopswitch.peer;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.hyssopswitch.core.message.PeerMessage;

/**
 * The message classes that VMs exchange, by number.
 *
 * <p>Ranges: links 1 to 9, membership 10 to 19, configuration 20 to 29, limit 30 to 39, failover 40 to 49, session 50
 * to 59, proxy 100 to 129. A number keeps its meaning for as long as the protocol version stays the same.
 */
public final class MessageRegistry {

    private static final int FIRST_NUMBER = 10;
    private static final int LAST_NUMBER = 129;

    private final Map<Integer, RecordCodec> codecs;
    private final Map<Class<?>, Integer> numbers;

    private MessageRegistry(Map<Integer, RecordCodec> codecs, Map<Class<?>, Integer> numbers) {
        this.codecs = Map.copyOf(codecs);
        this.numbers = Map.copyOf(numbers);
    }

    /** Starts an empty registry. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the number of a message class.
     *
     * @param type class of the message
     */
    public Optional<Integer> numberOf(Class<? extends PeerMessage> type) {
        return Optional.ofNullable(numbers.get(type));
    }

    Optional<RecordCodec> codecOf(int number) {
        return Optional.ofNullable(codecs.get(number));
    }

    /** Collects message classes. */
    public static final class Builder {

        private final Map<Integer, RecordCodec> codecs = new HashMap<>();
        private final Map<Class<?>, Integer> numbers = new HashMap<>();

        private Builder() {
            add(1, LinkMessages.Hello.class);
            add(2, LinkMessages.Challenge.class);
            add(3, LinkMessages.Proof.class);
            add(4, LinkMessages.Welcome.class);
            add(5, LinkMessages.Refused.class);
            add(6, LinkMessages.Ping.class);
            add(7, LinkMessages.Pong.class);
            add(8, LinkMessages.Superseded.class);
        }

        /**
         * Adds a message class.
         *
         * @param number its number, between 10 and 129
         * @param type its class, a record
         * @throws PeerException if the number is taken or out of range, or a component cannot be encoded
         */
        public Builder register(int number, Class<? extends PeerMessage> type) {
            if (number < FIRST_NUMBER || number > LAST_NUMBER) {
                throw new PeerException("a message number must be between 10 and 129, but is " + number);
            }
            return add(number, type);
        }

        /** Builds the registry. */
        public MessageRegistry build() {
            return new MessageRegistry(codecs, numbers);
        }

        private Builder add(int number, Class<? extends PeerMessage> type) {
            if (codecs.putIfAbsent(number, RecordCodec.of(type)) != null || numbers.putIfAbsent(type, number) != null) {
                throw new PeerException("message number " + number + " or " + type.getName() + " is registered twice");
            }
            return this;
        }
    }
}
