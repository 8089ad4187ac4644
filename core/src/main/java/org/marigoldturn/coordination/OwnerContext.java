package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.store.MetadataStore;

/**
 * The dependencies that the parts of one term of ownership share. Immutable.
 *
 * @param termRevision revision of the term's record, which every write requires
 * @param times what is known of the time of earlier owners
 * @param ownershipLease tracks whether the ownership is still certain
 * @param storeRegainedMillis monotonic time at which the store last became readable again after an
 *     interruption
 * @param onFenced to be run on evidence of a newer owner
 * @param confirmOwnership to be run to have the ownership confirmed at once
 */
record OwnerContext(
        DaemonIdentity self,
        long term,
        long termRevision,
        MetadataStore store,
        TargetClient targets,
        HostClient hosts,
        AdviceClient advice,
        PlatformFormats formats,
        ControlLoop control,
        Clocks clocks,
        JobLimits limits,
        MetricRegistry metrics,
        TakeoverTimes times,
        OwnershipLease ownershipLease,
        long storeRegainedMillis,
        Runnable onFenced,
        Runnable confirmOwnership) {}
