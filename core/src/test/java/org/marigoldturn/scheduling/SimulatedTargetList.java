package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/** The platform's list of targets, which can lose entries and show earlier incarnations. */
final class SimulatedTargetList {
    private final Map<String, Long> mStartMillis = new HashMap<>();
    private final Set<String> mUnlisted = new HashSet<>();

    boolean contains(String id) {
        return mStartMillis.containsKey(id);
    }

    /** Lists an incarnation, unless the list shows a later one. */
    void add(String id, long startedMillis) {
        mStartMillis.merge(id, startedMillis, Math::max);
    }

    void removeEntry(String id) {
        mUnlisted.add(id);
    }

    void restoreEntry(String id) {
        mUnlisted.remove(id);
    }

    void restoreAllEntries() {
        mUnlisted.clear();
    }

    /** Returns the start of the incarnation that is listed; empty if none is. */
    OptionalLong startMillis(SimulatedTarget target) {
        return target.isUp() && !mUnlisted.contains(target.id())
                ? OptionalLong.of(mStartMillis.get(target.id()))
                : OptionalLong.empty();
    }
}
