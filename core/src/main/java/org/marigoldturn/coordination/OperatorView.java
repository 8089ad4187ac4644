package org.marigoldturn.coordination;

import com.codahale.metrics.MetricRegistry;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.store.PrefixMirror;
import org.marigoldturn.store.StoredValue;
import org.marigoldturn.store.UnusableEntries;
import org.tinylog.Logger;

/**
 * Holds the operator's settings as last read from the store.
 *
 * <p>A value that cannot be read changes nothing: the last one that was read under its key stays in
 * force. The catalog may be read from any thread, and its version never decreases. Everything else
 * is confined to the control thread.
 */
final class OperatorView implements PrefixMirror.Listener {
    private final PlatformFormats mFormats;
    private final Runnable mOnChange;
    private final Clocks mClocks;
    private final UnusableEntries mUnusableEntries;
    private final Map<String, PlatformFormats.OperatorItem> mItems = new HashMap<>();
    private volatile QueueCatalog mCatalog;
    private boolean mChanged;

    OperatorView(
            PlatformFormats formats, Runnable onChange, Clocks clocks, MetricRegistry metrics) {
        mFormats = formats;
        mOnChange = onChange;
        mClocks = clocks;
        mUnusableEntries =
                new UnusableEntries("operator", metrics.counter("entries.unusable.operator"));
    }

    /** Returns the newest catalog; empty until the first one was read. */
    Optional<QueueCatalog> catalog() {
        return Optional.ofNullable(mCatalog);
    }

    Set<String> closedZones() {
        Set<String> zones = new HashSet<>();
        for (PlatformFormats.OperatorItem item : mItems.values()) {
            if (item instanceof PlatformFormats.OperatorItem.ClosedZone closed) {
                zones.add(closed.zone());
            }
        }
        return zones;
    }

    List<PlatformFormats.OperatorItem.Wave> waves() {
        List<PlatformFormats.OperatorItem.Wave> waves = new ArrayList<>();
        for (PlatformFormats.OperatorItem item : mItems.values()) {
            if (item instanceof PlatformFormats.OperatorItem.Wave wave) {
                waves.add(wave);
            }
        }
        return waves;
    }

    @Override
    public void onValue(StoredValue value) {
        Either<PlatformFormats.Unusable, PlatformFormats.OperatorItem> item =
                mFormats.operatorItem(value.key(), value.value());
        if (item.isLeft()) {
            mUnusableEntries.add(value, item.getLeft().reason(), mClocks.now());
            return;
        }
        mUnusableEntries.remove(value.key());
        mItems.put(value.key(), item.get());
        mChanged = true;
        if (item.get() instanceof PlatformFormats.OperatorItem.Catalog catalog) {
            useCatalog(catalog.catalog(), value.modRevision());
        } else {
            Logger.info("operator: event=set key={} rev={}", value.key(), value.modRevision());
        }
    }

    private void useCatalog(QueueCatalog catalog, long revision) {
        if (mCatalog != null && catalog.version() < mCatalog.version()) {
            Logger.warn(
                    "operator: event=older-catalog version={} held={}",
                    catalog.version(),
                    mCatalog.version());
            return;
        }
        mCatalog = catalog;
        Logger.info("operator: event=catalog version={} rev={}", catalog.version(), revision);
    }

    @Override
    public void onRemoved(String key) {
        mUnusableEntries.remove(key);
        mItems.remove(key);
        mChanged = true;
        Logger.info("operator: event=removed key={}", key);
    }

    @Override
    public void onUpToDate() {
        if (mChanged) {
            mChanged = false;
            mOnChange.run();
        }
    }

    @Override
    public void onInterrupted(Throwable cause) {
        // The mirror logs this; the values read before stay in use while the store is unavailable.
    }
}
