package org.marigoldturn.operator;

import java.util.List;

/** Log of the recent decisions of this daemon about requests. Thread safe. */
public interface DecisionLog {
    /** Adds a record; never blocks. */
    void add(DecisionRecord decision);

    /** Returns the records of a request that have not been overwritten, oldest first. */
    List<DecisionRecord> find(String requestId);
}
