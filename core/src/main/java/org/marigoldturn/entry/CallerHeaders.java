package org.marigoldturn.entry;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.util.AsciiString;
import java.util.Set;

/** Names of the headers between callers, daemons and targets, and the rules for forwarding them. */
public final class CallerHeaders {
    /** Key of the team that sends the request. */
    public static final AsciiString KEY = HttpHeaderNames.of("marigoldturn-key");

    /** UUID version 7 of the request. */
    public static final AsciiString REQUEST_ID = HttpHeaderNames.of("marigoldturn-request-id");

    /** Time in milliseconds from the receipt of the request to its deadline. */
    public static final AsciiString DEADLINE_MILLIS =
            HttpHeaderNames.of("marigoldturn-deadline-millis");

    /** {@code true} if the request may run more than once. */
    public static final AsciiString IDEMPOTENT = HttpHeaderNames.of("marigoldturn-idempotent");

    /** {@code true} if the request has priority. */
    public static final AsciiString URGENT = HttpHeaderNames.of("marigoldturn-urgent");

    /** Resources that the request needs, as {@code name=number} separated by commas. */
    public static final AsciiString NEEDS = HttpHeaderNames.of("marigoldturn-needs");

    /** {@link Outcome} of a request, in a response that the daemon itself made. */
    public static final AsciiString OUTCOME = HttpHeaderNames.of("marigoldturn-outcome");

    /** Id of the daemon that sends the request to the target. */
    public static final AsciiString OWNER = HttpHeaderNames.of("marigoldturn-owner");

    /** Team of the request; sent to the target. */
    public static final AsciiString TEAM = HttpHeaderNames.of("marigoldturn-team");

    private static final String PREFIX = "marigoldturn-";

    /** Headers that are valid for one connection only (RFC 9110, section 7.6.1). */
    private static final Set<String> HOP_BY_HOP =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "te",
                    "transfer-encoding",
                    "upgrade",
                    "http2-settings",
                    "expect",
                    "host");

    private CallerHeaders() {}

    /** Copies the caller's headers that the target may see, which never include the key. */
    static void copyToTarget(RequestHeaders from, RequestHeadersBuilder to) {
        from.forEach(
                (name, value) -> {
                    boolean length = HttpHeaderNames.CONTENT_LENGTH.contentEquals(name);
                    if (isEndToEnd(name) && !length) {
                        to.add(name, value);
                    }
                });
    }

    /** Returns the target's headers that the caller may see, with the request id. */
    static ResponseHeaders toCaller(ResponseHeaders from, String requestId) {
        ResponseHeadersBuilder to = ResponseHeaders.builder(from.status());
        from.forEach(
                (name, value) -> {
                    if (isEndToEnd(name)) {
                        to.add(name, value);
                    }
                });
        return to.set(REQUEST_ID, requestId).build();
    }

    private static boolean isEndToEnd(AsciiString name) {
        String text = name.toString();
        return !text.startsWith(":") && !text.startsWith(PREFIX) && !HOP_BY_HOP.contains(text);
    }
}
