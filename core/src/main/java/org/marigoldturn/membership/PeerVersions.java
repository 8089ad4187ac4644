package org.marigoldturn.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;

/**
 * The newest version that each other daemon has reported. A reported version is an acknowledgement:
 * the daemon never decides by an older one again. Confined to the control thread.
 */
public final class PeerVersions {
    private final Map<String, Report> mReports = new HashMap<>();

    private record Report(long version, Optional<Long> replySentNanos) {}

    /**
     * Records the reply to a ping.
     *
     * @param sentNanos monotonic time before the ping was sent
     */
    public void onReply(String memberId, long version, long sentNanos) {
        mReports.merge(
                memberId, new Report(version, Optional.of(sentNanos)), PeerVersions::combine);
    }

    /**
     * Records a version that a daemon reported in its own ping. As its time of sending is unknown,
     * it does not count as a reply.
     */
    public void onReport(String memberId, long version) {
        mReports.merge(memberId, new Report(version, Optional.empty()), PeerVersions::combine);
    }

    /** Removes the reports of daemons that are not in the set. */
    public void retain(MemberSet members) {
        mReports.keySet().removeIf(id -> members.find(id).isEmpty());
    }

    /** Returns whether the daemon has acknowledged the version or a newer one. */
    public boolean holds(String memberId, long version) {
        Report report = mReports.get(memberId);
        return report != null && report.version() >= version;
    }

    /** Returns the newest version that a member of the set has reported, 0 if none. */
    public long newest(MemberSet members) {
        return members.members().stream()
                .map(member -> mReports.get(member.id()))
                .filter(report -> report != null)
                .mapToLong(Report::version)
                .max()
                .orElse(0);
    }

    /**
     * Returns the monotonic time before the latest ping was sent to which the daemon has replied.
     */
    public Optional<Long> replySentNanos(String memberId) {
        return Optional.ofNullable(mReports.get(memberId)).flatMap(Report::replySentNanos);
    }

    /**
     * Returns the members other than {@code selfId} that replied to a ping sent at or after the
     * given time.
     */
    public List<String> repliedSince(MemberSet members, String selfId, long sinceNanos) {
        return members.members().stream()
                .map(Member::id)
                .filter(id -> !id.equals(selfId))
                .filter(id -> replySentNanos(id).filter(t -> t - sinceNanos >= 0).isPresent())
                .toList();
    }

    /** Keeps the larger of both values, since reports may arrive out of order. */
    private static Report combine(Report old, Report added) {
        long version = Math.max(old.version(), added.version());
        Optional<Long> sent = added.replySentNanos();
        boolean later =
                sent.isPresent() && old.replySentNanos().filter(t -> t - sent.get() >= 0).isEmpty();
        return new Report(version, later ? sent : old.replySentNanos());
    }
}
