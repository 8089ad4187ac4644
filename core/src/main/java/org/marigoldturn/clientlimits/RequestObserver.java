package org.marigoldturn.clientlimits;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Tells a {@link ConnectionGuard} where HTTP/1.1 requests and responses begin and end. Runs on the
 * connection's event loop, next to the server's codec.
 */
final class RequestObserver extends ChannelDuplexHandler {
    private final ConnectionGuard mConnection;
    private boolean mInformational;

    RequestObserver(ConnectionGuard connection) {
        mConnection = connection;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof HttpRequest request
                && !mConnection.headDecoded(request.headers().size())) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (message instanceof LastHttpContent) {
            mConnection.requestDecoded();
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            // An informational response such as 100 does not end the request.
            mInformational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        }
        boolean ends = message instanceof LastHttpContent && !mInformational;
        var unused = context.write(message, promise);
        if (ends) {
            mConnection.responseEncoded();
        }
    }
}
