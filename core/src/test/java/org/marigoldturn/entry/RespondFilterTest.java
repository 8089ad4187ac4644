package org.marigoldturn.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import net.jqwik.api.Example;

/** What of a target's answer reaches the caller. */
class RespondFilterTest {
    /** Guards against a caller that sees the end of its answer before its rights are released. */
    @Example
    void lastPartOfTheBodyDoesNotEndTheAnswer() {
        HttpObject passed = RespondFilter.withoutEnd(HttpData.ofUtf8("body").withEndOfStream(true));
        assertThat(passed.isEndOfStream()).isFalse();
        assertThat(((HttpData) passed).toStringUtf8()).isEqualTo("body");
    }

    @Example
    void otherPartsStayAsTheyAre() {
        HttpData part = HttpData.ofUtf8("body");
        HttpHeaders trailers = HttpHeaders.of("a", "b");
        assertThat(RespondFilter.withoutEnd(part)).isSameAs(part);
        assertThat(RespondFilter.withoutEnd(trailers)).isSameAs(trailers);
    }
}
