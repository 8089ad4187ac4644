package org.marigoldturn.coordination;

/** Keys of this system's own records in the metadata store. */
final class StoreLayout {
    static final String OWNER_PREFIX = "mt/owner/";

    /** Term, id and address of the newest owner; never deleted. */
    static final String OWNER_TERM = OWNER_PREFIX + "term";

    /** Exists under a lease while the owner is alive. */
    static final String OWNER_LIVE = OWNER_PREFIX + "live";

    /** Token of the peer protocol. */
    static final String PEER_TOKEN = "mt/secret";

    static final String JOB_PREFIX = "mt/job/";
    static final String PROGRESS_PREFIX = "mt/progress/";
    static final String HOST_PREFIX = "mt/host/";

    /** Hosts that have been seen in a standby pool, one per line. */
    static final String SPARE_HOSTS = HOST_PREFIX + "spare-hosts";

    /**
     * Targets on which tasks may have been started. Not longer than the platform's own prefix of
     * targets, so that each id fits into a key.
     */
    static final String TARGET_PREFIX = "mt/tgt/";

    /**
     * Exists once each target on which a task may run has a record. Versions that recorded no
     * targets did not write it.
     */
    static final String TARGETS_COMPLETE = "mt/targets-complete";

    /** Targets that the owner could not read when it began to serve. */
    static final String UNREAD_TARGETS = "mt/unread-targets";

    /** Services on whose targets the tasks of each queue may run. */
    static final String QUEUE_SERVICES = "mt/queue-services";

    private StoreLayout() {}

    static String job(String id) {
        return JOB_PREFIX + id;
    }

    static String progress(String id) {
        return PROGRESS_PREFIX + id;
    }

    static String target(String id) {
        return TARGET_PREFIX + id;
    }

    static String wave(long number) {
        return HOST_PREFIX + "wave/" + number;
    }
}
