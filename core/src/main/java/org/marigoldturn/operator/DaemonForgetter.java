package org.marigoldturn.operator;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.ChangeResult;

/** Removes a daemon that has certainly ended from the member set. Thread safe. */
@FunctionalInterface
public interface DaemonForgetter {
    /**
     * Removes the member on the operator's word that its process has ended.
     *
     * @param changeId unique id, repeated when the same change is sent again
     */
    CompletableFuture<ChangeResult> forget(String memberId, String changeId, String author);
}
