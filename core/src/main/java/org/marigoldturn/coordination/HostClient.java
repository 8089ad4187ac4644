package org.marigoldturn.coordination;

import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Port to the platform's host service. Implementations are thread safe and never block. */
public interface HostClient {
    /** Lists all hosts. */
    CompletableFuture<List<HostStatus>> list();

    /**
     * Orders maintenance of a host; whatever runs there ends at once.
     *
     * @param wave number of the maintenance wave
     * @param holder name of the owner's host
     * @param term the owner's term, which fences earlier owners
     */
    CompletableFuture<HostOrderOutcome> orderMaintenance(
            String hostId, long wave, String holder, long term);

    /**
     * Orders the move of a host to another pool; whatever runs there ends at once.
     *
     * @param pool service to whose pool the host is moved
     * @param holder name of the owner's host
     * @param term the owner's term, which fences earlier owners
     */
    CompletableFuture<HostOrderOutcome> orderMove(
            String hostId, String pool, String holder, long term);

    /**
     * One entry of the host list.
     *
     * @param hostId identifies the host
     * @param pool service to whose pool the host belongs
     * @param state what the host service says of the host
     * @param zone its availability zone
     * @param targetId target that runs on the host; empty if there is none
     */
    record HostStatus(String hostId, String pool, HostState state, String zone, String targetId) {
        /** Returns whether the host is in use. */
        boolean up() {
            return state == HostState.UP;
        }

        /** Returns whether the host is down. */
        boolean down() {
            return state == HostState.DOWN;
        }

        /**
         * Returns whether a target that ran on the host before the list was requested has ended:
         * planned work, which ends all runs, is under way there, or another target runs there.
         */
        boolean showsEndOf(String formerTargetId) {
            return switch (state) {
                case IN_PLANNED_WORK -> true;
                case UP -> !targetId.isEmpty() && !targetId.equals(formerTargetId);
                case DOWN, UNKNOWN -> false;
            };
        }
    }

    /** State of a host in the host list. */
    enum HostState {
        UP,
        /** The host is moving to another pool or in maintenance. */
        IN_PLANNED_WORK,
        DOWN,
        /** The host service reports a state that this version does not know. */
        UNKNOWN
    }

    /** Outcome of an order for a host. */
    enum HostOrderOutcome {
        /** The work has begun, or the order was carried out before. */
        BEGUN,
        /** The host service has seen a higher term. */
        FENCED,
        /** The host is not up, or its target is about to leave. */
        BUSY,
        /** There is no such host, or the order does not apply to it. */
        REJECTED,
        /** Too many calls or no response from the host service; the work may have begun. */
        UNKNOWN
    }
}
