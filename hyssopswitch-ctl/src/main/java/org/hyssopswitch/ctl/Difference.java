package org.hyssopswitch.ctl;

/**
 * One difference between two subtrees.
 *
 * @param path what differs, such as {@code accounts[mare.school].rate.burst}
 * @param before the earlier value; empty when it was added
 * @param after the later value; empty when it was removed
 */
record Difference(String path, String before, String after) {

    String describe() {
        if (before.isEmpty()) {
            return "+ " + path + ": " + after;
        }
        return after.isEmpty() ? "- " + path + ": " + before : "~ " + path + ": " + before + " -> " + after;
    }
}
