package org.marigoldturn.shares;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.marigoldturn.shares.TransferPlanner.Move;

/** Guards against rights in transfer that a coordinator counts twice or not at all. */
class PendingTransfersTest {
    private static final Move MOVE = new Move("a", "b", 16);

    private final PendingTransfers mPending = new PendingTransfers();

    private Map<String, Integer> after(int heldByA, int heldByB) {
        Map<String, Integer> held = new TreeMap<>(Map.of("a", heldByA, "b", heldByB));
        mPending.applyTo(held);
        return held;
    }

    @Example
    void holdingsAreCorrectWhenTheRecipientReportsFirst() {
        mPending.add(MOVE, 0);
        mPending.onReport("b", 16, 100);
        assertThat(after(40, 16)).isEqualTo(Map.of("a", 24, "b", 16));
        mPending.onReport("a", -16, 200);
        assertThat(after(24, 16)).isEqualTo(Map.of("a", 24, "b", 16));
    }

    @Example
    void holdingsAreCorrectWhenTheSourceReportsFirst() {
        mPending.add(MOVE, 0);
        mPending.onReport("a", -16, 100);
        assertThat(after(24, 0)).isEqualTo(Map.of("a", 24, "b", 16));
        mPending.onReport("b", 16, 200);
        assertThat(after(24, 16)).isEqualTo(Map.of("a", 24, "b", 16));
    }

    /** Guards against a report in which received and sent rights partly cancel out. */
    @Example
    void holdingsAreCorrectWhenADaemonReceivesAndSendsBetweenReports() {
        mPending.add(new Move("c", "a", 3), 0);
        mPending.onReport("c", -3, 100);
        mPending.add(MOVE, 200);
        mPending.onReport("a", 3 - 16, 300);
        assertThat(after(27, 0)).isEqualTo(Map.of("a", 27, "b", 16));
        assertThat(mPending.isOpen(MOVE)).isFalse();
    }

    /** Rights in use are transferred one after another as their requests end. */
    @Example
    void partOfATransferStaysOpen() {
        mPending.add(MOVE, 0);
        mPending.onReport("a", -6, 100);
        mPending.onReport("b", 6, 200);
        assertThat(after(34, 6)).isEqualTo(Map.of("a", 24, "b", 16));
        assertThat(mPending.isOpen(MOVE)).isTrue();
        mPending.onReport("a", -10, 300);
        assertThat(mPending.isOpen(MOVE)).isFalse();
    }

    /** Guards against transfers that stay pending because the source has too few rights. */
    @Example
    void transferThatNobodyReportsIsForgotten() {
        mPending.add(MOVE, 0);
        mPending.expire(1999);
        assertThat(mPending.isOpen(MOVE)).isTrue();
        mPending.expire(2000);
        assertThat(after(40, 0)).isEqualTo(Map.of("a", 40, "b", 0));
    }
}
