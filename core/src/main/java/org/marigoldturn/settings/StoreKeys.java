package org.marigoldturn.settings;

/**
 * Names of the keys that settings use in the store.
 *
 * @param prefix common prefix, ending in a slash
 */
record StoreKeys(String prefix) {
    StoreKeys {
        if (prefix == null || !prefix.endsWith("/")) {
            throw new IllegalArgumentException("prefix \"" + prefix + "\" must end in a slash");
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

    /** Key that is written to prove that the compared state was the newest one. */
    String fence() {
        return prefix + "fence";
    }
}
