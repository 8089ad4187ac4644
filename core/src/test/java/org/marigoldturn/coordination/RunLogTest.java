package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.marigoldturn.jobs.QueueCatalog;
import org.marigoldturn.jobs.ResourceAmounts;
import org.marigoldturn.jobs.TaskId;
import org.marigoldturn.scheduling.EndedRuns;
import org.marigoldturn.scheduling.JobScheduler;
import org.marigoldturn.scheduling.TargetEntry;
import org.marigoldturn.scheduling.TargetState;

/** Guards against lines about a run that a search for its task or its job does not find. */
class RunLogTest {
    private static final TargetEntry ENTRY =
            new TargetEntry(
                    "t1", 7, "h1", "s", "a:1", "z", "r", Set.of(), ResourceAmounts.NONE, false);

    private final JobScheduler mScheduler =
            new JobScheduler(
                    new QueueCatalog(1, List.of(), Set.of(), Set.of(), List.of()), 1, 0, 0);
    private final TargetState mTarget = mScheduler.onTargetListed(ENTRY, 0);

    @Example
    void lineNamesTheTaskInOneWord() {
        assertThat(RunLog.describe(new TaskId("a9b279c", 4, 1, 12), 65_537, mTarget).split(" "))
                .containsExactly("id=a9b279c", "task=a9b279c.4.1.12", "run=65537", "target=t1");
    }

    @Example
    void replacedTargetIsDescribedWithBothIncarnations() {
        assertThat(RunLog.describeReplaced(EndedRuns.of(mTarget), 9, "poll"))
                .isEqualTo(
                        "target: event=replaced target=t1 born=9 earlierBorn=7 seenIn=poll runs=0"
                                + " neverListed=0 abandoned=0");
    }

    @Example
    void callWithoutResponseIsDescribedWithItsLeaseAndTheEndsItConfirms() {
        assertThat(new SentCall("poll", 3_300, 2, 1_000).describe(1_250))
                .isEqualTo("call=poll leaseMillis=3300 lastSeen=2 openMillis=250");
    }
}
