package org.marigoldturn.coordination;

import com.codahale.metrics.DefaultSettableGauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.marigoldturn.jobs.AccountSettings;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.scheduling.JobScheduler;

/**
 * Publishes how much of a service the runs of each client account request, and its weight.
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
        for (AccountSettings account : accounts) {
            double largest =
                    catalog.services().stream()
                            .mapToDouble(s -> mScheduler.share(account.name(), s, nowMillis))
                            .max()
                            .orElse(0);
            gauge(SHARE_PREFIX + account.name()).setValue(largest);
            gauge(WEIGHT_PREFIX + account.name()).setValue(account.weight());
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
