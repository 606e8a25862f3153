package org.hyssopswitch.standin.group;

import java.util.List;

/** A committed transaction, or the empty entry that begins a term. */
record LogEntry(long term, long committedNanos, List<Mutation> mutations) {}
