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
    private volatile Channel active;
    private volatile boolean closing;
    private ScheduledFuture<?> helloTimeout;
    private boolean open;
    private boolean ended;

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

    void connecting(ChannelFuture connecting) {
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        end("connect_failed", "cannot connect: " + done.cause().getMessage());
                    }
                });
    }

    /** Writes a frame. A full buffer ends the connection, since the endpoint does not read. */
    void send(byte[] frame) {
        Channel current = active;
        if (current != null) {
            current.eventLoop().execute(() -> write(current, frame));
        }
    }

    private void write(Channel current, byte[] frame) {
        if (ended || !current.isActive()) {
            return;
        }
        if (!current.isWritable()) {
            end("buffer_full", "write buffer is full: the endpoint does not read");
            return;
        }
        metrics.frame(address, TransportMetrics.OUT, FrameLimits.LENGTH_BYTES + frame.length);
        Channels.write(current, Unpooled.wrappedBuffer(frame));
        current.flush();
    }

    /** Closes the channel, or prevents its use if it is still being connected. */
    void close() {
        closing = true;
        Channel current = active;
        if (current != null) {
            Channels.close(current);
        }
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        active = ctx.channel();
        if (closing) {
            Channels.close(ctx.channel());
            return;
        }
        write(
                ctx.channel(),
                EndpointCodec.frame(EndpointTransport.HELLO_EXCHANGE, hello).toByteArray());
        helloTimeout =
                ctx.executor()
                        .schedule(
                                () -> end("hello_timeout", "Hello was not answered in time"),
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
            end("bad_frame", "invalid answer: " + answer.getLeft());
        } else if (open) {
            events.answered(frame.get().getExchange(), answer.get());
        } else {
            opening(answer.get());
        }
    }

    private void opening(EndpointAnswer answer) {
        if (answer instanceof EndpointAnswer.StatusReport report) {
            open = true;
            helloTimeout.cancel(false);
            events.opened(report.status());
        } else if (answer instanceof EndpointAnswer.Refused refused) {
            end("refused", refused.kind() + ": " + refused.message());
        } else {
            end("bad_frame", "unexpected answer to Hello");
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        end("closed", "closed by the endpoint");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof DecoderException) {
            end("bad_frame", "frame is too large or damaged: " + cause.getMessage());
        } else {
            end("io_error", cause.toString());
        }
    }

    private void end(String kind, String reason) {
        if (ended) {
            return;
        }
        ended = true;
        if (helloTimeout != null) {
            helloTimeout.cancel(false);
        }
        if (!closing) {
            metrics.error(address, kind);
        }
        events.failed(open, reason);
        close();
    }
}
