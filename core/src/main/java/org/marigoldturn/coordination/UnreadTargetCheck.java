package org.marigoldturn.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetState;
import org.tinylog.Logger;

/**
 * Finds out from the host list which targets have ended that an earlier owner has used and this one
 * cannot read, so that their leases need not be waited for.
 *
 * <p>It serves takeovers during maintenance: the platform ends the target of a host before the
 * owner that ordered the maintenance can delete the target's record. The host list is requested
 * only while there are such targets. Invariant: a target counts as ended only by a list that was
 * requested after the target was known. Confined to the control thread.
 */
final class UnreadTargetCheck {
    /** Interval of reading the host list. */
    static final long INTERVAL_MILLIS = 1_000;

    private final JobScheduler mScheduler;
    private final HostClient mHosts;
    private final ControlLoop mControl;
    private final Consumer<TargetState> mOnEnded;
    private long mRequestedMillis = Long.MIN_VALUE / 2;
    private boolean mRequested;

    /**
     * Creates the check of one owner.
     *
     * @param onEnded receives each target that has ended
     */
    UnreadTargetCheck(
            JobScheduler scheduler,
            HostClient hosts,
            ControlLoop control,
            Consumer<TargetState> onEnded) {
        mScheduler = scheduler;
        mHosts = hosts;
        mControl = control;
        mOnEnded = onEnded;
    }

    void tick(long nowMillis) {
        if (mRequested || nowMillis - mRequestedMillis < INTERVAL_MILLIS) {
            return;
        }
        List<TargetState> unread = mScheduler.targetsWithUnknownRuns(nowMillis);
        if (unread.isEmpty()) {
            return;
        }
        mRequested = true;
        mRequestedMillis = nowMillis;
        mHosts.list()
                .whenComplete(
                        (hosts, failure) ->
                                mControl.execute(
                                        () -> {
                                            mRequested = false;
                                            if (failure == null) {
                                                onHosts(unread, hosts);
                                            } else {
                                                Logger.warn(
                                                        "owner: event=host-list-failed cause={}",
                                                        failure.getMessage());
                                            }
                                        }));
    }

    private void onHosts(List<TargetState> unread, List<HostClient.HostStatus> hosts) {
        Map<String, HostClient.HostStatus> byId = new HashMap<>();
        hosts.forEach(host -> byId.put(host.hostId(), host));
        for (TargetState target : unread) {
            HostClient.HostStatus host = byId.get(target.entry().hostId());
            boolean ended = host != null && host.showsEndOf(target.entry().id());
            if (ended && target.mayHaveUnknownRuns()) {
                mOnEnded.accept(target);
            }
        }
    }
}
