package org.marigoldturn.peer;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import java.util.List;

/**
 * Splits the stream into frames and rejects a frame whose announced length exceeds the limit,
 * before it is buffered.
 *
 * <p>Netty's decoder has no length limit. Used by one connection on its event loop.
 */
final class LimitedFrameDecoder extends ProtobufVarint32FrameDecoder {
    private static final int MAX_LENGTH_BYTES = 5;

    private int mMaxFrameBytes;

    LimitedFrameDecoder(int maxFrameBytes) {
        mMaxFrameBytes = maxFrameBytes;
    }

    void setMaxFrameBytes(int maxFrameBytes) {
        mMaxFrameBytes = maxFrameBytes;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out)
            throws Exception {
        long announced = announcedLength(in);
        if (announced > mMaxFrameBytes) {
            throw new TooLongFrameException(
                    "frame of "
                            + announced
                            + " bytes exceeds the limit of "
                            + mMaxFrameBytes
                            + " bytes");
        }
        super.decode(context, in, out);
    }

    /** Returns the length at the start of the buffer without consuming it, 0 if incomplete. */
    private static long announcedLength(ByteBuf in) {
        long length = 0;
        int available = Math.min(MAX_LENGTH_BYTES, in.readableBytes());
        for (int i = 0; i < available; i++) {
            byte next = in.getByte(in.readerIndex() + i);
            length |= (long) (next & 0x7f) << (7 * i);
            if (next >= 0) {
                return length;
            }
        }
        return 0;
    }
}
