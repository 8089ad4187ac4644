package org.marigoldturn.coordination;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** Guards against floods of log lines, and against lines that are left out without a trace. */
class LogBudgetTest {
    private static final int LINES = 3;

    private final LogBudget mBudget = new LogBudget(LINES);

    @Example
    void linesOfOneSecondAreBounded() {
        assertThat(admitted(0, 5_000)).isEqualTo(LINES);
        assertThat(admitted(LogBudget.INTERVAL_MILLIS - 1, 1)).isZero();
        assertThat(admitted(LogBudget.INTERVAL_MILLIS, 5_000)).isEqualTo(LINES);
    }

    @Example
    void linesLeftOutAreCountedOnceTheSecondIsOver() {
        admitted(0, LINES + 2);
        assertThat(mBudget.takeLeftOut(LogBudget.INTERVAL_MILLIS - 1)).isZero();
        assertThat(mBudget.takeLeftOut(LogBudget.INTERVAL_MILLIS)).isEqualTo(2);
        assertThat(mBudget.takeLeftOut(LogBudget.INTERVAL_MILLIS)).isZero();
    }

    @Property(seed = "20261206", tries = 200)
    void eachLineIsWrittenOrCounted(
            @ForAll @Size(max = 100) List<@IntRange(max = 400) Integer> pausesMillis) {
        LogBudget budget = new LogBudget(LINES);
        long now = 0;
        long accounted = 0;
        for (int pause : pausesMillis) {
            now += pause;
            accounted += budget.takeLeftOut(now) + (budget.admit(now) ? 1 : 0);
        }
        accounted += budget.takeLeftOut(now + LogBudget.INTERVAL_MILLIS);
        assertThat(accounted).isEqualTo(pausesMillis.size());
    }

    private int admitted(long nowMillis, int lines) {
        int admitted = 0;
        for (int i = 0; i < lines; i++) {
            admitted += mBudget.admit(nowMillis) ? 1 : 0;
        }
        return admitted;
    }
}
