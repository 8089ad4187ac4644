package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.store.StoredValue;

/**
 * Port to the keys and formats of the records that the platform and its operator keep in the store.
 * Implementations are thread safe.
 */
public interface PlatformFormats {
    /** Returns the key prefix of the targets' entries. */
    String targetPrefix();

    /** Returns the target's id for a key under {@link #targetPrefix}. */
    String targetId(String key);

    /** Reads a target's entry; logs the cause and returns empty if the entry is not valid. */
    Optional<TargetEntry> target(StoredValue value);

    /** Returns the prefix of the operator's keys. */
    String operatorPrefix();

    /**
     * Reads one of the operator's values; empty if its key is not known or its content is not
     * valid.
     */
    Optional<OperatorItem> operatorItem(String key, ByteString value);

    /** Returns the key under which the progress of a wave is reported. */
    String waveStatusKey(long wave);

    /** Returns the content of a wave's status. */
    ByteString waveStatus(boolean completed);

    /** One of the operator's values. */
    sealed interface OperatorItem {
        /** The configuration of queues, services and accounts. */
        record Catalog(QueueCatalog catalog) implements OperatorItem {}

        /** A zone in which nothing may be started. */
        record ClosedZone(String zone) implements OperatorItem {}

        /**
         * A maintenance wave, in which each of the hosts undergoes maintenance once.
         *
         * @param number number of the wave
         * @param hostIds the hosts
         * @param durationMillis time within which maintenance should have begun on all hosts
         * @param maxHostsDown hosts that may be down for the wave at a time
         */
        record Wave(long number, Set<String> hostIds, long durationMillis, int maxHostsDown)
                implements OperatorItem {
            public Wave {
                hostIds = Set.copyOf(hostIds);
            }
        }
    }
}
