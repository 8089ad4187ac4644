package org.marigoldturn.operator;

import java.util.concurrent.CompletableFuture;
import org.marigoldturn.settings.ChangeResult;

/** Removes a daemon whose process has ended from the member set. Thread safe. */
@FunctionalInterface
public interface MemberRemover {
    /**
     * Removes the member. The operator guarantees that its process has ended.
     *
     * @param changeId unique id of the change; the same id is passed when the change is repeated
     */
    CompletableFuture<ChangeResult> remove(String memberId, String changeId, String author);
}
