package org.marigoldturn.membership;

import java.util.concurrent.CompletableFuture;

/** Commits changes of the member set. */
@FunctionalInterface
public interface MemberSetCommitter {
    /**
     * Commits the change as the version after its base version.
     *
     * @return whether it was committed; false if another version was committed first
     */
    CompletableFuture<Boolean> commit(MemberSetChange change);
}
