package org.marigoldturn.operator;

import java.util.List;

/** Recent decisions of this daemon about requests. Thread safe. */
public interface DecisionLog {
    /** Adds a record; never blocks. */
    void add(DecisionRecord decision);

    /** Returns the records of a request that are still held, oldest first. */
    List<DecisionRecord> find(String requestId);
}
