package org.marigoldturn.scheduling;

/**
 * Why a long-running task has no run that is known to run. The constants that exclude targets are
 * declared in the order in which they are reported when several apply.
 */
public enum WaitReason {
    /** No usable target has room. */
    ROOM("room"),
    /** The limit of the client account is reached. */
    LIMIT("limit"),
    /** It would fit but for capacity that is held back for another task. */
    HELD_BACK("held-back"),
    /** Only hosts on loan have room, and long-running tasks are kept off them. */
    LENT("lent"),
    /** Only targets have room on which starts are paused after failures or rejected orders. */
    PAUSED("paused"),
    /** Only targets have room on whose hosts no task starts before a move or maintenance. */
    CORDONED("cordoned"),
    /** Only targets have room that did not respond to the last call. */
    UNREACHABLE("unreachable"),
    /**
     * This owner has not read targets: the job was restored and its run may exist on one of them,
     * in any service to which its queue has been sent, or only they have room.
     */
    UNREAD("unread"),
    /** Only targets have room whose records are not stored yet. */
    UNRECORDED("unrecorded"),
    /** Only targets have room in zones in which no task starts. */
    CLOSED_ZONE("closed-zone"),
    /** Only targets have room that take no new tasks according to their entries. */
    DRAINING("draining"),
    /** Only targets have room that the platform's list does not contain. */
    UNLISTED("unlisted"),
    /**
     * Another daemon may be the owner: nothing starts, or only targets have room that have not
     * reported to a certain owner.
     */
    OWNERSHIP("ownership"),
    /** Restored jobs are held after an outage of the store. */
    STORE_REGAINED("store-regained"),
    /** The task is held until a later confirmation of the ownership. */
    HELD("held"),
    /** No target with room has a valid ticket of the policy service. */
    ADVICE("advice"),
    /** A run of the task, or of a member of its gang, may still exist. */
    EARLIER_RUN("earlier-run"),
    /** The configuration does not have the job's queue. */
    NOT_CONFIGURED("not-configured"),
    /** The store does not yet name the service of the job's queue as one in which tasks run. */
    QUEUE_UNRECORDED("queue-unrecorded"),
    /** The job's record is not stored yet. */
    NOT_STORED("not-stored"),
    /** Nothing known prevents the start; the next scheduling pass is expected to start it. */
    STARTABLE("startable");

    private final String mWord;

    WaitReason(String word) {
        mWord = word;
    }

    /** Returns the word for it in logs. */
    public String word() {
        return mWord;
    }
}
