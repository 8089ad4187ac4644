package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import io.vavr.control.Either;
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

    /** Reads a target's entry, or tells why it is not the entry of a target. */
    Either<Unusable, TargetEntry> target(StoredValue value);

    /** Returns the prefix of the operator's keys. */
    String operatorPrefix();

    /** Reads one of the operator's values, or tells why it cannot be used. */
    Either<Unusable, OperatorItem> operatorItem(String key, ByteString value);

    /** Returns the key under which the progress of a wave is reported. */
    String waveStatusKey(long wave);

    /** Returns the content of a wave's status. */
    ByteString waveStatus(boolean completed);

    /**
     * A value that cannot be used, since another writer may have left it.
     *
     * @param reason what is wrong with it, for log lines; it may repeat parts of the value
     */
    record Unusable(String reason) {}

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
