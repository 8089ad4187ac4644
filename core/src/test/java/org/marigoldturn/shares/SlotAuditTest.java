package org.marigoldturn.shares;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against slots that stay lost, and against new divisions while slots are in transfer. */
class SlotAuditTest {
    private static final String POOL = "pool:desk";

    private final SlotAudit mAudit = new SlotAudit();

    @Example
    void aLastingLossOfMoreThanHalfOfTheSlotsIsDetectedSoon() {
        assertThat(mAudit.hasLostSlots(POOL, 8, 3, 0)).isFalse();
        assertThat(mAudit.hasLostSlots(POOL, 8, 3, SlotAudit.SEVERE_MILLIS - 1)).isFalse();
        assertThat(mAudit.hasLostSlots(POOL, 8, 3, SlotAudit.SEVERE_MILLIS)).isTrue();
    }

    @Example
    void aSmallLossIsDetectedLater() {
        assertThat(mAudit.hasLostSlots(POOL, 8, 7, 0)).isFalse();
        assertThat(mAudit.hasLostSlots(POOL, 8, 7, SlotAudit.MINOR_MILLIS - 1)).isFalse();
        assertThat(mAudit.hasLostSlots(POOL, 8, 7, SlotAudit.MINOR_MILLIS)).isTrue();
    }

    @Example
    void arrivingSlotsEndTheDeficit() {
        mAudit.hasLostSlots(POOL, 8, 0, 0);
        assertThat(mAudit.hasLostSlots(POOL, 8, 8, SlotAudit.SEVERE_MILLIS)).isFalse();
        assertThat(mAudit.hasLostSlots(POOL, 8, 0, SlotAudit.SEVERE_MILLIS + 1)).isFalse();
    }

    @Example
    void timingRestartsForAPoolThatAnotherDaemonCoordinated() {
        mAudit.hasLostSlots(POOL, 8, 0, 0);
        mAudit.retain(java.util.List.of());
        assertThat(mAudit.hasLostSlots(POOL, 8, 0, SlotAudit.SEVERE_MILLIS)).isFalse();
    }
}
