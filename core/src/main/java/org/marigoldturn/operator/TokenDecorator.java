package org.marigoldturn.operator;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.server.DecoratingHttpServiceFunction;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;

/** Rejects requests without the operator token. Thread safe. */
final class TokenDecorator implements DecoratingHttpServiceFunction {
    private static final String SCHEME = "Bearer ";

    private final byte[] mExpected;

    TokenDecorator(String token) {
        mExpected = (SCHEME + token).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public HttpResponse serve(HttpService delegate, ServiceRequestContext ctx, HttpRequest request)
            throws Exception {
        String presented = request.headers().get(HttpHeaderNames.AUTHORIZATION, "");
        byte[] presentedBytes = presented.getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(mExpected, presentedBytes)) {
            return Responses.problem(
                    HttpStatus.UNAUTHORIZED,
                    "unauthorized",
                    "the operator token is missing or wrong",
                    Map.of());
        }
        return delegate.serve(ctx, request);
    }
}
