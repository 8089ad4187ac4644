package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import org.marigoldturn.daemon.ControlLoop;
import org.marigoldturn.store.MetadataStore;

/**
 * What the parts of one ownership share. Immutable.
 *
 * @param termRevision revision of the record of the term, a condition of all writes
 * @param tenure how certain the ownership is
 * @param storeRegainedMillis monotonic time at which the store answered again after it was away
 * @param onFenced to be run on evidence of a newer owner
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
        Tenure tenure,
        long storeRegainedMillis,
        Runnable onFenced) {}
