package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.store.StoredValue;

/** Keys and formats of what the platform and its operator keep in the store. Thread safe. */
public interface PlatformFormats {
    /** Returns the prefix of the targets' entries. */
    String targetPrefix();

    /** Returns the target's id for a key under {@link #targetPrefix}. */
    String targetId(String key);

    /** Reads a target's entry; empty, with a log line, if it is not a valid one. */
    Optional<TargetEntry> target(StoredValue value);

    /** Returns the prefix of the operator's keys. */
    String operatorPrefix();

    /** Reads one of the operator's values; empty if its key or content has no meaning here. */
    Optional<OperatorItem> operatorItem(String key, ByteString value);

    /** Returns the key under which the progress of a wave is reported. */
    String waveStatusKey(long wave);

    /** Returns the content of a wave's status. */
    ByteString waveStatus(boolean completed);

    /** One of the operator's values. */
    sealed interface OperatorItem {
        /** The configuration of queues, services and accounts. */
        record Catalog(QueueCatalog catalog) implements OperatorItem {}

        /** Nothing may be started in the zone. */
        record ClosedZone(String zone) implements OperatorItem {}

        /**
         * Each of the hosts is to have its upkeep.
         *
         * @param number number of the wave
         * @param hostIds the hosts
         * @param durationMillis time within which all should have begun
         * @param atOnce hosts that may be down for it at a time
         */
        record Wave(long number, Set<String> hostIds, long durationMillis, int atOnce)
                implements OperatorItem {
            public Wave {
                hostIds = Set.copyOf(hostIds);
            }
        }
    }
}
