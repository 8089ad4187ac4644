package org.marigoldturn.scheduling;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Remembers targets that are not used any more since their lease has ended and the platform does
 * not list them, for as long as a call to one of them may be carried out by its next incarnation.
 * Confined to the control thread.
 */
final class DroppedTargets {
    private final long mRetentionMillis;
    private final Map<String, Dropped> mTargets = new HashMap<>();

    private record Dropped(TargetState target, long droppedMillis) {}

    DroppedTargets(long retentionMillis) {
        mRetentionMillis = retentionMillis;
    }

    void add(TargetState target, long nowMillis) {
        mTargets.put(target.entry().id(), new Dropped(target, nowMillis));
    }

    /** Removes the target with the id of an entry; returns it if it is an earlier incarnation. */
    Optional<TargetState> takeEarlierIncarnation(TargetEntry entry, long nowMillis) {
        mTargets.values()
                .removeIf(dropped -> nowMillis - dropped.droppedMillis() > mRetentionMillis);
        return Optional.ofNullable(mTargets.remove(entry.id()))
                .map(Dropped::target)
                .filter(target -> !target.entry().isSameIncarnation(entry));
    }
}
