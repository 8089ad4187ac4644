package org.marigoldturn.settings;

/**
 * Builds the keys of the settings in the store.
 *
 * @param prefix common prefix, ending in a slash
 */
record StoreKeys(String prefix) {
    StoreKeys {
        if (prefix == null || !prefix.endsWith("/")) {
            throw new IllegalArgumentException(
                    "key prefix must end in a slash, not \"" + prefix + "\"");
        }
    }

    String manifest() {
        return prefix + "manifest";
    }

    String blob(String hash) {
        return prefix + "blobs/" + hash;
    }

    String history(long version) {
        return prefix + "history/" + version;
    }

    String change(String changeId) {
        return prefix + "changes/" + changeId;
    }

    /**
     * Key written only on condition of the manifest's revision, which proves that the manifest is
     * the newest; its value is never read.
     */
    String fence() {
        return prefix + "fence";
    }
}
