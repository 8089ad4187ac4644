package org.marigoldturn.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.marigoldturn.store.MetadataStore;
import org.marigoldturn.store.StoredValue;

/** Reads all records under a prefix, page by page. Thread safe. */
final class RecordReader {
    private final MetadataStore mStore;

    RecordReader(MetadataStore store) {
        mStore = store;
    }

    CompletableFuture<List<StoredValue>> listAll(String prefix) {
        return listFrom(prefix, "", new ArrayList<>());
    }

    private CompletableFuture<List<StoredValue>> listFrom(
            String prefix, String afterKey, List<StoredValue> values) {
        return mStore.list(prefix, afterKey)
                .thenCompose(
                        page -> {
                            values.addAll(page.values());
                            if (!page.hasMore() || page.values().isEmpty()) {
                                return CompletableFuture.completedFuture(values);
                            }
                            String last = values.get(values.size() - 1).key();
                            return listFrom(prefix, last, values);
                        });
    }
}
