package org.hyssopswitch.core.statement;

import java.nio.ByteBuffer;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Names of prepared statements at endpoints. Callers of one client account share connections, and a lender prepares
 * statements for its borrowers, so a name depends on the statement alone and no two statements have the same one.
 */
public final class StatementNameUtils {

    /** Greatest length of a name, characters: prefix, separator and digest. */
    public static final int MAX_NAME_LENGTH = 42;

    /** Greatest length of a text that is part of its name, characters. */
    private static final int MAX_PLAIN_LENGTH = 40;

    /** Bytes of the digest that are part of a name; a collision takes about 2^80 attempts. */
    private static final int DIGEST_BYTES = 20;

    private StatementNameUtils() {}

    /**
     * Returns the name of a statement: lower-case letters, digits and underscores.
     *
     * <p>A short text of lower-case letters and digits is kept readable. All others are replaced by their digest, whose
     * name alone contains an underscore, so the two kinds of names never meet. Upper-case letters count as others, in
     * case an endpoint ignores the case of names.
     *
     * @param write whether the statement writes
     * @param text text of the statement
     */
    public static String nameOf(boolean write, String text) {
        String prefix = write ? "w" : "r";
        return isPlain(text) ? prefix + text : prefix + "_" + digest(text);
    }

    private static boolean isPlain(String text) {
        if (text.isEmpty() || text.length() > MAX_PLAIN_LENGTH) {
            return false;
        }
        return text.chars().allMatch(c -> (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'));
    }

    private static String digest(String text) {
        // An encoder would replace unpaired surrogates, which would give different texts the same bytes.
        ByteBuffer characters = ByteBuffer.allocate(text.length() * Character.BYTES);
        characters.asCharBuffer().put(text);
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(characters.array());
            return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform provides SHA-256", e);
        }
    }
}
