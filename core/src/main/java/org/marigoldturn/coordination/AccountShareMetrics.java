package org.marigoldturn.coordination;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.scheduling.JobScheduler;

/**
 * Publishes how much of a service the short jobs of each client account request, and its weight.
 *
 * <p>Set by the owner and 0 at a former owner. Only the accounts with the largest weights are
 * published, which bounds the number of metrics. Confined to the control thread.
 */
final class AccountShareMetrics {
    static final String SHARE_PREFIX = "accounts.share.";
    static final String WEIGHT_PREFIX = "accounts.weight.";
    static final int MAX_ACCOUNTS = 50;

    /** The metrics are fetched every few seconds. */
    private static final long INTERVAL_MILLIS = 1_000;

    private final JobScheduler mScheduler;
    private final MetricRegistry mMetrics;
    private final Map<String, DefaultSettableGauge<Double>> mGauges = new HashMap<>();
    private long mUpdatedMillis = Long.MIN_VALUE / 2;

    AccountShareMetrics(JobScheduler scheduler, MetricRegistry metrics) {
        mScheduler = scheduler;
        mMetrics = metrics;
    }

    void tick(QueueCatalog catalog, long nowMillis) {
        if (nowMillis - mUpdatedMillis < INTERVAL_MILLIS) {
            return;
        }
        mUpdatedMillis = nowMillis;
        List<AccountSettings> accounts =
                catalog.accounts().stream()
                        .filter(account -> account.weight() > 0)
                        .sorted(
                                Comparator.comparingDouble(AccountSettings::weight)
                                        .reversed()
                                        .thenComparing(AccountSettings::name))
                        .limit(MAX_ACCOUNTS)
                        .toList();
        List<String> names = accounts.stream().map(AccountSettings::name).toList();
        List<Double> largest = new ArrayList<>(Collections.nCopies(names.size(), 0.0));
        for (String service : catalog.services()) {
            List<Double> shares = mScheduler.shares(names, service, nowMillis);
            for (int i = 0; i < shares.size(); i++) {
                largest.set(i, Math.max(largest.get(i), shares.get(i)));
            }
        }
        removeAllExcept(names);
        for (int i = 0; i < names.size(); i++) {
            gauge(SHARE_PREFIX + names.get(i)).setValue(largest.get(i));
            gauge(WEIGHT_PREFIX + names.get(i)).setValue(accounts.get(i).weight());
        }
    }

    private void removeAllExcept(List<String> accounts) {
        Set<String> kept = new HashSet<>();
        for (String account : accounts) {
            kept.add(SHARE_PREFIX + account);
            kept.add(WEIGHT_PREFIX + account);
        }
        for (String name : Set.copyOf(mGauges.keySet())) {
            if (!kept.contains(name)) {
                mGauges.remove(name);
                mMetrics.remove(name);
            }
        }
    }

    /** Resets the metrics, since another daemon schedules from now on. */
    void close() {
        mGauges.values().forEach(gauge -> gauge.setValue(0.0));
    }

    private DefaultSettableGauge<Double> gauge(String name) {
        return mGauges.computeIfAbsent(name, mMetrics::gauge);
    }
}
