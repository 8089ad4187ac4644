package org.marigoldturn.jobs;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * One version of the operator's configuration of queues, services and client accounts. Immutable.
 */
public final class QueueCatalog {
    private final long mVersion;
    private final List<QueueSettings> mQueues;
    private final Set<String> mStandbyServices;
    private final Set<String> mServices;
    private final Map<String, QueueSettings> mQueueByName = new HashMap<>();
    private final Map<String, AccountSettings> mAccountByName = new HashMap<>();
    private final Map<String, AccountSettings> mAccountByKey = new HashMap<>();

    /** Creates a catalog; if several queues have the same name, the last one is found by name. */
    public QueueCatalog(
            long version,
            List<QueueSettings> queues,
            Set<String> services,
            Set<String> standbyServices,
            List<AccountSettings> accounts) {
        mVersion = version;
        mQueues = List.copyOf(queues);
        mServices = Set.copyOf(services);
        mStandbyServices = Set.copyOf(standbyServices);
        for (QueueSettings queue : mQueues) {
            mQueueByName.put(queue.name(), queue);
        }
        for (AccountSettings account : accounts) {
            mAccountByName.put(account.name(), account);
            account.keys().forEach(key -> mAccountByKey.put(key, account));
        }
    }

    /** Returns the version that the operator gave to the configuration. */
    public long version() {
        return mVersion;
    }

    /** Returns the names of all services. */
    public Set<String> services() {
        return mServices;
    }

    /** Returns the services whose hosts form the standby pool. */
    public Set<String> standbyServices() {
        return mStandbyServices;
    }

    /** Returns the settings of all queues, one for each name. */
    public Collection<QueueSettings> queues() {
        return Collections.unmodifiableCollection(mQueueByName.values());
    }

    /** Returns the queue of the given name. */
    public Optional<QueueSettings> queue(String name) {
        return Optional.ofNullable(mQueueByName.get(name));
    }

    /** Returns the settings of all accounts. */
    public Collection<AccountSettings> accounts() {
        return Collections.unmodifiableCollection(mAccountByName.values());
    }

    /** Returns the account of the given name. */
    public Optional<AccountSettings> account(String name) {
        return Optional.ofNullable(mAccountByName.get(name));
    }

    /** Returns the account to which a key belongs. */
    public Optional<AccountSettings> accountOfKey(String key) {
        return Optional.ofNullable(mAccountByKey.get(key));
    }

    /** Returns the queue with the given host and the longest prefix of {@code path}. */
    public Optional<QueueSettings> route(String host, String path) {
        QueueSettings best = null;
        for (QueueSettings queue : mQueues) {
            boolean matches = queue.host().equals(host) && path.startsWith(queue.pathPrefix());
            if (matches
                    && (best == null || queue.pathPrefix().length() > best.pathPrefix().length())) {
                best = queue;
            }
        }
        return Optional.ofNullable(best);
    }
}
