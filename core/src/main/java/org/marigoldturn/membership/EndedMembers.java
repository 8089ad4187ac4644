package org.marigoldturn.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Evidence that processes of members have ended; without conclusive evidence, the process may still
 * run. Ids are never reused, so conclusive evidence is never discarded. Used to decide on removals
 * from the member set. Confined to the control thread.
 */
public final class EndedMembers {
    private final Map<String, Entry> mEntries = new HashMap<>();

    private record Entry(EndEvidence evidence, long sinceNanos) {}

    /**
     * Records evidence; conclusive evidence replaces other evidence.
     *
     * @return whether the evidence is new
     */
    public boolean record(String memberId, EndEvidence evidence, long nowNanos) {
        Entry old = mEntries.get(memberId);
        if (old != null && (old.evidence().isConclusive() || !evidence.isConclusive())) {
            return false;
        }
        mEntries.put(memberId, new Entry(evidence, nowNanos));
        return true;
    }

    /** Withdraws evidence that is not conclusive, since the member has sent a message. */
    public void onMessage(String memberId) {
        mEntries.computeIfPresent(
                memberId, (id, entry) -> entry.evidence().isConclusive() ? entry : null);
    }

    /** Returns the evidence, conclusive or not, or empty if there is none. */
    public Optional<EndEvidence> evidence(String memberId) {
        return Optional.ofNullable(mEntries.get(memberId)).map(Entry::evidence);
    }

    /** Returns whether the process has ended by conclusive evidence. */
    public boolean isConclusive(String memberId) {
        return evidence(memberId).filter(EndEvidence::isConclusive).isPresent();
    }

    /** Returns the time at which the present evidence was first recorded. */
    public Optional<Long> sinceNanos(String memberId) {
        return Optional.ofNullable(mEntries.get(memberId)).map(Entry::sinceNanos);
    }
}
