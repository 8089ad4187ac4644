package org.marigoldturn.membership;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import org.marigoldturn.settings.Member;
import org.marigoldturn.settings.MemberSet;
import org.marigoldturn.store.Compare;
import org.marigoldturn.store.FakeStore;
import org.marigoldturn.store.Operation;
import org.marigoldturn.store.Transaction;

/** Guards against a daemon that serves a version which the store has replaced, or never serves. */
class StoreConfirmerTest {
    private long mNowMillis = 1_000;
    private int mManifestMismatches;
    private final Queue<Runnable> mCallbacks = new ArrayDeque<>();
    private final FakeStore mStore = new FakeStore(() -> mNowMillis);
    private final FakeStore.Connection mConnection = mStore.new Connection();
    private final ConfirmationTracker mTracker = new ConfirmationTracker("d1", new PeerVersions());
    private final StoreConfirmer mConfirmer =
            new StoreConfirmer(
                    mConnection,
                    "/m/",
                    "d1",
                    mTracker,
                    () -> mManifestMismatches++,
                    mCallbacks::add);

    private long putManifest(long version) {
        ByteString value = ByteString.copyFromUtf8(Long.toString(version));
        return mStore.new Connection()
                .commit(Transaction.unconditional(List.of(new Operation.Put("/m/manifest", value))))
                .join()
                .revision();
    }

    private void adopt(long version) {
        Member self = new Member("d1", "z0", "127.0.0.1", 1, 2, 0);
        mTracker.adopt(version, new MemberSet(List.of(self)));
    }

    /** The first tick without a lease grants one, the next one confirms. */
    private void tick(long version, long manifestRevision, int ticks) {
        for (int i = 0; i < ticks; i++) {
            mNowMillis += 500;
            mConfirmer.tick(version, manifestRevision, nowNanos());
            while (!mCallbacks.isEmpty()) {
                mCallbacks.remove().run();
            }
        }
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    private boolean mayServe() {
        return mTracker.mayServe(nowNanos());
    }

    @Example
    void anOldVersionIsNotConfirmedAndTheNewOneIsRead() {
        long first = putManifest(1);
        adopt(1);
        tick(1, first, 2);
        assertThat(mayServe()).isTrue();
        assertThat(mManifestMismatches).isZero();

        long second = putManifest(2);
        tick(1, first, 4);
        assertThat(mayServe()).isFalse();
        assertThat(mManifestMismatches).isEqualTo(4);

        adopt(2);
        tick(2, second, 1);
        assertThat(mayServe()).isTrue();
    }

    /** Guards against a state from a peer that is served without a comparison in the store. */
    @Example
    void aStateWithoutItsRevisionIsReadAndNotConfirmed() {
        long revision = putManifest(1);
        adopt(1);
        tick(1, Compare.ABSENT, 3);
        assertThat(mayServe()).isFalse();
        assertThat(mManifestMismatches).isEqualTo(3);

        tick(1, revision, 2);
        assertThat(mayServe()).isTrue();
    }

    /** Guards against a daemon that stays unconfirmed after its lease has expired. */
    @Example
    void anExpiredLeaseIsReplaced() {
        long revision = putManifest(1);
        adopt(1);
        tick(1, revision, 2);
        assertThat(mayServe()).isTrue();

        mNowMillis += TimeUnit.MINUTES.toMillis(2);
        tick(1, revision, 1);
        assertThat(mayServe()).isFalse();

        tick(1, revision, 2);
        assertThat(mayServe()).isTrue();
    }

    /** Guards against a lost response that counts as a confirmation. */
    @Example
    void aLostResponseConfirmsNothing() {
        long revision = putManifest(1);
        adopt(1);
        tick(1, revision, 1);
        mConnection.setLosesResponses(true);
        tick(1, revision, 3);
        assertThat(mayServe()).isFalse();

        mConnection.setLosesResponses(false);
        tick(1, revision, 1);
        assertThat(mayServe()).isTrue();
    }
}
