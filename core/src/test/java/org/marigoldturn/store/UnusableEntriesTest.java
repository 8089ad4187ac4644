package org.marigoldturn.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.Counter;
import com.google.protobuf.ByteString;
import net.jqwik.api.Example;

/** Guards against floods of log lines about entries that stay damaged or change all the time. */
class UnusableEntriesTest {
    private final Counter mCount = new Counter();
    private final UnusableEntries mEntries = new UnusableEntries("target", mCount);

    @Example
    void entryThatStaysOrFlapsGetsOneLinePerInterval() {
        assertThat(mEntries.add(entry("k"), "first", 0)).isTrue();
        assertThat(mEntries.add(entry("k"), "second", 1)).isFalse();
        mEntries.remove("k");
        assertThat(mEntries.add(entry("k"), "first", UnusableEntries.REPEAT_MILLIS - 1)).isFalse();
        assertThat(mEntries.add(entry("k"), "first", UnusableEntries.REPEAT_MILLIS)).isTrue();
    }

    @Example
    void linesAboutManyEntriesAreBounded() {
        int lines = 0;
        for (int i = 0; i < 5_000; i++) {
            lines += mEntries.add(entry("k" + i), "r", i % 100) ? 1 : 0;
        }
        assertThat(lines).isEqualTo(UnusableEntries.LINES_PER_INTERVAL);
        assertThat(mEntries.add(entry("x"), "r", UnusableEntries.INTERVAL_MILLIS)).isTrue();
    }

    @Example
    void counterShowsTheUnusableEntries() {
        mEntries.add(entry("a"), "r", 0);
        mEntries.add(entry("a"), "r", 0);
        mEntries.add(entry("b"), "r", 0);
        assertThat(mCount.getCount()).isEqualTo(2);
        mEntries.remove("a");
        mEntries.remove("a");
        assertThat(mCount.getCount()).isEqualTo(1);
        mEntries.clear();
        assertThat(mCount.getCount()).isZero();
    }

    @Example
    void foreignTextFitsIntoOneLine() {
        assertThat(SingleLine.of("a\nb\r\u0007c")).isEqualTo("a b  c");
        assertThat(SingleLine.of("x".repeat(1_000_000))).hasSizeLessThan(300);
    }

    private static StoredValue entry(String key) {
        return new StoredValue(key, ByteString.EMPTY, 1, 1);
    }
}
