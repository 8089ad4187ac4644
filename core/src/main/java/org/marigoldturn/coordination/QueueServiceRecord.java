package org.marigoldturn.coordination;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.QueueServices;
import org.marigoldturn.jobs.wire.QueueServicesRecord;
import org.marigoldturn.scheduling.QueueServiceTracker;
import org.marigoldturn.store.StoredValue;
import org.tinylog.Logger;

/**
 * Keeps the record in the store of the services on whose targets the tasks of each queue may run.
 *
 * <p>Invariant: a service is removed from the record only after all writes that were enqueued when
 * no run of the queue was left there, so that the store holds the ends of these runs. Confined to
 * the control thread.
 *
 * @see QueueServiceTracker
 */
final class QueueServiceRecord {
    private final QueueServiceTracker mTracker;
    private final GroupCommit mCommits;
    private final long mTerm;
    private final Runnable mOnStored;
    private boolean mForgetting;

    /**
     * Creates the keeper of one owner's record.
     *
     * @param onStored to be run when tasks may start in further services
     */
    QueueServiceRecord(
            QueueServiceTracker tracker, GroupCommit commits, long term, Runnable onStored) {
        mTracker = tracker;
        mCommits = commits;
        mTerm = term;
        mOnStored = onStored;
    }

    /** Uses what the last owner has left in the store. */
    void restore(Optional<StoredValue> stored) {
        mTracker.restore(stored.map(this::read).orElse(QueueServices.UNKNOWN));
        storeChange();
    }

    private QueueServices read(StoredValue value) {
        mCommits.recordRevision(value.key(), value.modRevision());
        try {
            return decode(value.value());
        } catch (InvalidProtocolBufferException e) {
            // Another writer's record must not keep the owner from serving.
            Logger.error(e, "owner: event=unreadable-queue-services key={}", value.key());
            return QueueServices.UNKNOWN;
        }
    }

    /** Writes what has changed with the configuration. */
    void storeChange() {
        mTracker.takeChange().ifPresent(this::store);
    }

    private void store(QueueServiceTracker.Change change) {
        QueueServices services = change.services();
        Logger.info(
                "owner: event=queue-services term={} change={} complete={} queues={} several={}",
                mTerm,
                change.number(),
                services.complete(),
                services.servicesByQueue().size(),
                services.servicesByQueue().values().stream().filter(s -> s.size() > 1).count());
        var unused =
                mCommits.put(StoreLayout.QUEUE_SERVICES, encode(services))
                        .thenRun(
                                () -> {
                                    mTracker.onStored(change.number());
                                    mOnStored.run();
                                });
    }

    /**
     * Removes services of former configurations that are not used any more. All progress of jobs
     * that is known must have been passed to the writer.
     */
    void tick(long nowMillis) {
        mTracker.completeIfAllRunsAreKnown(nowMillis);
        QueueServiceTracker.Unused found = mTracker.findUnused(nowMillis);
        if (!mForgetting && !found.isEmpty()) {
            mForgetting = true;
            var unused = mCommits.flush().thenRun(() -> forget(found));
        }
        storeChange();
    }

    private void forget(QueueServiceTracker.Unused found) {
        mForgetting = false;
        mTracker.forget(found);
        storeChange();
    }

    /** Returns the durable record. */
    static ByteString encode(QueueServices services) {
        QueueServicesRecord.Builder record =
                QueueServicesRecord.newBuilder().setComplete(services.complete());
        services.servicesByQueue()
                .forEach(
                        (queue, names) ->
                                record.addQueues(
                                        QueueServicesRecord.Queue.newBuilder()
                                                .setName(queue)
                                                .addAllServices(names)));
        return record.build().toByteString();
    }

    /** Reads a durable record. */
    static QueueServices decode(ByteString bytes) throws InvalidProtocolBufferException {
        QueueServicesRecord record = QueueServicesRecord.parseFrom(bytes);
        Map<String, Set<String>> byQueue = new HashMap<>();
        for (QueueServicesRecord.Queue queue : record.getQueuesList()) {
            byQueue.put(queue.getName(), Set.copyOf(queue.getServicesList()));
        }
        return new QueueServices(record.getComplete(), byQueue);
    }
}
