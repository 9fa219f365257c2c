package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.util.concurrent.TimeUnit;
import org.ragwortmoor.protocol.EndpointCodec;
import org.ragwortmoor.protocol.FrameLimits;
import org.ragwortmoor.protocol.ProtocolError;
import org.ragwortmoor.protocol.wire.EndpointFrame;
import org.ragwortmoor.state.EndpointStatus;
import org.ragwortmoor.state.endpoint.EndpointAnswer;
import org.ragwortmoor.state.endpoint.EndpointCall;

/** One connection to an endpoint. Its state is confined to the channel's event loop. */
final class EndpointChannel extends SimpleChannelInboundHandler<ByteBuf> {
    private final String address;
    private final EndpointCall.Hello hello;
    private final TransportSettings settings;
    private final Events events;
    private final TransportMetrics metrics;
    private volatile Channel activeChannel;
    private volatile boolean closeRequested;
    private ScheduledFuture<?> helloTimeoutTask;
    private boolean open;
    private boolean hasFailed;

    /** Receives the events of one connection on its event loop. */
    interface Events {
        void opened(EndpointStatus status);

        void failed(boolean wasOpen, String reason);

        void answered(long exchange, EndpointAnswer answer);
    }

    EndpointChannel(
            String address,
            EndpointCall.Hello hello,
            TransportSettings settings,
            Events events,
            TransportMetrics metrics) {
        this.address = address;
        this.hello = hello;
        this.settings = settings;
        this.events = events;
        this.metrics = metrics;
    }

    String address() {
        return address;
    }

    void watchConnect(ChannelFuture connectFuture) {
        connectFuture.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        fail("connect_failed", "cannot connect: " + done.cause().getMessage());
                    }
                });
    }

    /** Writes a frame. A full write buffer fails the connection: the endpoint is not reading. */
    void send(byte[] frame) {
        Channel channel = activeChannel;
        if (channel != null) {
            channel.eventLoop().execute(() -> write(channel, frame));
        }
    }

    private void write(Channel channel, byte[] frame) {
        if (hasFailed || !channel.isActive()) {
            return;
        }
        if (!channel.isWritable()) {
            fail("buffer_full", "write buffer is full: the endpoint does not read");
            return;
        }
        metrics.frame(address, TransportMetrics.OUT, FrameLimits.LENGTH_BYTES + frame.length);
        Channels.write(channel, Unpooled.wrappedBuffer(frame));
        channel.flush();
    }

    /** Closes the channel, or closes it on activation if it is still connecting. */
    void close() {
        closeRequested = true;
        Channel channel = activeChannel;
        if (channel != null) {
            Channels.close(channel);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        activeChannel = ctx.channel();
        if (closeRequested) {
            Channels.close(ctx.channel());
            return;
        }
        write(
                ctx.channel(),
                EndpointCodec.frame(EndpointTransport.HELLO_EXCHANGE, hello).toByteArray());
        helloTimeoutTask =
                ctx.executor()
                        .schedule(
                                () -> fail("hello_timeout", "Hello was not answered in time"),
                                settings.helloTimeoutMillis(),
                                TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
        metrics.frame(
                address, TransportMetrics.IN, FrameLimits.LENGTH_BYTES + bytes.readableBytes());
        Either<ProtocolError, EndpointFrame> frame = EndpointCodec.parse(bytes.nioBuffer());
        Either<ProtocolError, EndpointAnswer> answer = frame.flatMap(EndpointCodec::decodeAnswer);
        if (answer.isLeft()) {
            fail("bad_frame", "invalid answer: " + answer.getLeft());
        } else if (open) {
            events.answered(frame.get().getExchange(), answer.get());
        } else {
            receiveHelloAnswer(answer.get());
        }
    }

    private void receiveHelloAnswer(EndpointAnswer answer) {
        if (answer instanceof EndpointAnswer.StatusReport report) {
            open = true;
            helloTimeoutTask.cancel(false);
            events.opened(report.status());
        } else if (answer instanceof EndpointAnswer.Refused refused) {
            fail("refused", refused.kind() + ": " + refused.message());
        } else {
            fail("bad_frame", "unexpected answer to Hello");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        fail("closed", "closed by the endpoint");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            fail("bad_frame", "frame is too large or damaged: " + cause.getMessage());
        } else {
            fail("io_error", cause.toString());
        }
    }

    private void fail(String kind, String reason) {
        if (hasFailed) {
            return;
        }
        hasFailed = true;
        if (helloTimeoutTask != null) {
            helloTimeoutTask.cancel(false);
        }
        if (!closeRequested) {
            metrics.error(address, kind);
        }
        events.failed(open, reason);
        close();
    }
}
