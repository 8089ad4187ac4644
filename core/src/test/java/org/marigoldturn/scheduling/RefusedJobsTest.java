package org.marigoldturn.scheduling;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.Example;

/** Guards against clients that were refused and are overtaken by later ones of their account. */
class RefusedJobsTest {
    private final RefusedJobs mRefused = new RefusedJobs();

    private void refuse(String id, long firstMillis, long nowMillis) {
        mRefused.recordRefusal(id, "a", "service", firstMillis, 1_000, 2_000, 50, nowMillis);
    }

    @Example
    void firstSubmissionIsKeptOverRefusals() {
        assertThat(mRefused.firstSubmittedMillis("x", 100)).isEqualTo(100);
        refuse("x", 100, 100);
        refuse("x", mRefused.firstSubmittedMillis("x", 900), 900);
        assertThat(mRefused.firstSubmittedMillis("x", 1_600)).isEqualTo(100);
    }

    @Example
    void workOfEarlierRefusedJobsIsExpectedWhileItCanMeetItsObjective() {
        refuse("x", 100, 100);
        assertThat(mRefused.expectedCoreMillis("a", "service", 200, 200)).isEqualTo(50);
        assertThat(mRefused.expectedCoreMillis("a", "service", 100, 200)).isZero();
        assertThat(mRefused.expectedCoreMillis("b", "service", 200, 200)).isZero();
        assertThat(mRefused.expectedCoreMillis("a", "service", 1_200, 1_200)).isZero();
    }

    @Example
    void clientThatKeepsToTheLongestDelayIsRemembered() {
        refuse("x", 0, 0);
        assertThat(
                        mRefused.firstSubmittedMillis(
                                "x", Admission.MAX_RETRY_AFTER_SECONDS * 1_000L + 500))
                .isZero();
    }

    @Example
    void memoryIsBoundedInAgeAndNumber() {
        refuse("old", 0, 0);
        assertThat(mRefused.firstSubmittedMillis("old", RefusedJobs.MAX_AGE_MILLIS))
                .isEqualTo(RefusedJobs.MAX_AGE_MILLIS);
        for (int i = 0; i < RefusedJobs.MAX_JOBS + 10; i++) {
            refuse("j" + i, 0, RefusedJobs.MAX_AGE_MILLIS);
        }
        assertThat(mRefused.size()).isEqualTo(RefusedJobs.MAX_JOBS);
    }
}
