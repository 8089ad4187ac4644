package org.marigoldturn.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpObject;
import net.jqwik.api.Example;

/** Tests which parts of a target's response reach the caller. */
class RespondFilterTest {
    /** Guards against a response that ends for the caller before the rights are released. */
    @Example
    void lastPartOfTheBodyDoesNotEndTheResponse() {
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
