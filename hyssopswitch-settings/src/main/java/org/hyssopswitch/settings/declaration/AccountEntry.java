package org.hyssopswitch.settings.declaration;

import jakarta.validation.constraints.DecimalMax;
import jakarta.validation.constraints.DecimalMin;
import jakarta.validation.constraints.Max;
import jakarta.validation.constraints.Min;
import java.util.Base64;
import java.util.Comparator;
import java.util.List;
import org.hyssopswitch.core.configuration.AccountDeclaration;
import org.hyssopswitch.core.configuration.KeyVerifier;
import org.hyssopswitch.core.configuration.Rate;
import org.hyssopswitch.core.identity.ClientAccountId;
import org.hyssopswitch.core.identity.DatabaseId;
import org.hyssopswitch.core.identity.KeyId;

/** A client account as declared in a file. */
record AccountEntry(ClientAccountId id, RateEntry rate, List<DatabaseId> databases, List<KeyEntry> keys) {

    /** Copies the lists. */
    AccountEntry {
        databases = List.copyOf(databases);
        keys = List.copyOf(keys);
    }

    static AccountEntry of(AccountDeclaration account) {
        return new AccountEntry(
                account.id(),
                new RateEntry(account.rate().perSecond(), account.rate().burst()),
                account.databases().stream().sorted().toList(),
                account.keys().stream()
                        .map(KeyEntry::of)
                        .sorted(Comparator.comparing(KeyEntry::id))
                        .toList());
    }

    AccountDeclaration toDeclaration() {
        return new AccountDeclaration(
                id,
                new Rate(rate.perSecond(), rate.burst()),
                databases,
                keys.stream().map(KeyEntry::toVerifier).toList());
    }

    /** A rate and a burst as declared in a file. */
    record RateEntry(
            @DecimalMin("0.001") @DecimalMax("1000000000") double perSecond,
            @DecimalMin("1") @DecimalMax("1000000000") double burst) {}

    /** A key as declared in a file: its verifier. */
    record KeyEntry(
            KeyId id, String salt, @Min(4096) @Max(1_000_000) int iterations, String storedKey, String serverKey) {

        private static final int MIN_SALT_BYTES = 8;
        private static final int HASH_BYTES = 32;

        /** Checks the lengths. */
        KeyEntry {
            if (length("salt", salt) < MIN_SALT_BYTES) {
                throw new IllegalArgumentException("salt must have at least " + MIN_SALT_BYTES + " bytes");
            }
            if (length("storedKey", storedKey) != HASH_BYTES || length("serverKey", serverKey) != HASH_BYTES) {
                throw new IllegalArgumentException("storedKey and serverKey must have " + HASH_BYTES + " bytes");
            }
        }

        static KeyEntry of(KeyVerifier key) {
            return new KeyEntry(key.id(), key.salt(), key.iterations(), key.storedKey(), key.serverKey());
        }

        KeyVerifier toVerifier() {
            return new KeyVerifier(id, salt, iterations, storedKey, serverKey);
        }

        private static int length(String name, String base64) {
            try {
                return Base64.getDecoder().decode(base64).length;
            } catch (IllegalArgumentException e) {
                throw new IllegalArgumentException(name + " must be Base64", e);
            }
        }
    }
}
