package org.marigoldturn.scheduling;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the jobs that were refused for overload, until their clients submit them again.
 *
 * <p>The first submission of a job orders it among the jobs of its account and is the time from
 * which its objective counts, so that a client that was refused is served before later ones for as
 * long as that helps it. Bounded in number and in age; lost with the owner without harm. Confined
 * to the control thread.
 */
final class RefusedJobs {
    /**
     * Clients that have not come back within this time have given up, or their deadline is over.
     * Longer than the longest Retry-After by the time that a call may take.
     */
    static final long MAX_AGE_MILLIS = Admission.MAX_RETRY_AFTER_SECONDS * 1_000L + 2_000;

    /** Up to this multiple of its objective, a job is late but still useful to its client. */
    private static final long USEFUL_OBJECTIVES = 3;

    static final int MAX_JOBS = 10_000;

    /** By id, in the order of the latest refusal. */
    private final Map<String, Refused> mJobs = new LinkedHashMap<>();

    /**
     * A refused job.
     *
     * @param firstMillis monotonic time of its first submission
     * @param refusedMillis monotonic time of its latest refusal
     * @param objectiveMillis monotonic time until which it must start to meet its objective
     * @param usefulMillis monotonic time until which its first submission orders it
     */
    private record Refused(
            String account,
            String service,
            long firstMillis,
            long refusedMillis,
            long objectiveMillis,
            long usefulMillis,
            long coreMillis) {}

    /**
     * Returns when a job was submitted first: now if it is not known. A job that is no longer
     * useful to a client in a hurry counts as new, since a client that still returns would
     * otherwise be refused for as long as the service is busy.
     */
    long firstSubmittedMillis(String jobId, long nowMillis) {
        forgetOld(nowMillis);
        Refused refused = mJobs.get(jobId);
        return refused == null || nowMillis >= refused.usefulMillis()
                ? nowMillis
                : refused.firstMillis();
    }

    /**
     * Records a refusal.
     *
     * @param slackMillis time after its first submission at which the job must start
     * @param objectiveMillis time after its first submission at which the job should be completed
     * @param coreMillis work of the job, in thousandths of a core-second
     */
    void recordRefusal(
            String jobId,
            String account,
            String service,
            long firstMillis,
            long slackMillis,
            long objectiveMillis,
            long coreMillis,
            long nowMillis) {
        mJobs.remove(jobId);
        mJobs.put(
                jobId,
                new Refused(
                        account,
                        service,
                        firstMillis,
                        nowMillis,
                        firstMillis + slackMillis,
                        firstMillis + USEFUL_OBJECTIVES * objectiveMillis,
                        coreMillis));
        forgetOld(nowMillis);
    }

    /** Forgets a job that was accepted. */
    void recordAccepted(String jobId) {
        mJobs.remove(jobId);
    }

    /**
     * Returns the work of the jobs of an account that were submitted before a time, are expected
     * back and can still meet their objectives, in thousandths of a core-second.
     */
    long expectedCoreMillis(String account, String service, long beforeMillis, long nowMillis) {
        long sum = 0;
        for (Refused job : mJobs.values()) {
            boolean counts =
                    job.account().equals(account)
                            && job.service().equals(service)
                            && job.firstMillis() < beforeMillis
                            && job.objectiveMillis() > nowMillis;
            sum += counts ? job.coreMillis() : 0;
        }
        return sum;
    }

    int size() {
        return mJobs.size();
    }

    private void forgetOld(long nowMillis) {
        Iterator<Refused> jobs = mJobs.values().iterator();
        while (jobs.hasNext()) {
            Refused oldest = jobs.next();
            if (nowMillis - oldest.refusedMillis() < MAX_AGE_MILLIS && mJobs.size() <= MAX_JOBS) {
                return;
            }
            jobs.remove();
        }
    }
}
