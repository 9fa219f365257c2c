package org.ragwortmoor.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import io.vavr.control.Option;
import java.io.IOException;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.ragwortmoor.coordination.callers.CallerAccount;
import org.ragwortmoor.coordination.callers.CallerBudget;
import org.ragwortmoor.coordination.callers.CloseReason;
import org.ragwortmoor.coordination.session.CallerSession;
import org.ragwortmoor.coordination.session.SessionHost;
import org.ragwortmoor.state.statement.ErrorCode;
import org.ragwortmoor.state.statement.MessageKind;
import org.ragwortmoor.state.statement.StatementMessage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The connection of one caller. Confined to the event loop of its channel. */
final class CallerConnection extends SimpleChannelInboundHandler<ByteBuf>
        implements SessionHost.CallerLink, CallerAccount.Owner, LineDecoder.Reader {
    /** Delay that a refused caller is told; idle sessions end and others progress meanwhile. */
    private static final String RETRY_HINT = "retry-after-ms=1000 ";

    /** A caller that does not take the error text is not waited for any longer. */
    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);

    private final Channel channel;
    private final CallerGuard guard;
    private final CallerBudget budget;
    private final Function<SessionHost.CallerLink, CallerSession> sessionFactory;
    private CallerSession session;
    private CallerAccount account;
    private boolean connectAnswered;
    private boolean decodingPaused;
    private long unread;

    CallerConnection(
            Channel channel,
            CallerGuard guard,
            Function<SessionHost.CallerLink, CallerSession> sessionFactory) {
        this.channel = channel;
        this.guard = guard;
        this.budget = guard.budget();
        this.sessionFactory = sessionFactory;
    }

    SocketAddress peer() {
        return channel.remoteAddress();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Option<CallerAccount> opened = budget.open(this, System.nanoTime());
        if (opened.isEmpty()) {
            channel.config().setAutoRead(false);
            guard.closed(this, CloseReason.SESSIONS);
            sendErrorAndClose(ErrorCode.OVERLOAD, CloseReason.SESSIONS);
            return;
        }
        account = opened.get();
        guard.opened(this);
        session = sessionFactory.apply(this);
    }

    @Override
    public boolean mayDecode() {
        boolean may = account != null && budget.mayHandle(account);
        decodingPaused |= !may;
        return may;
    }

    @Override
    public void buffered(int bytes, int newlyReceived) {
        if (account != null) {
            budget.halfMessage(account, bytes, newlyReceived);
            updateReading();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, ByteBuf line) {
        // The first message is CONNECT, or the session is closed.
        budget.connected(account);
        budget.received(account, line.readableBytes());
        StatementLines.read(line).peek(session::received).peekLeft(session::malformed);
    }

    private void updateReading() {
        boolean read = budget.mayRead(account);
        if (read != channel.config().isAutoRead()) {
            channel.config().setAutoRead(read);
            if (!read && channel.isActive()) {
                guard.paused();
            }
        }
        if (decodingPaused && budget.mayHandle(account)) {
            decodingPaused = false;
            // Passes the lines that are buffered to the session, outside of the current call.
            channel.eventLoop()
                    .execute(() -> channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER));
        }
    }

    @Override
    public void resume() {
        updateReading();
    }

    /** Updates the bytes that the caller has not read. */
    void measureUnread() {
        recordUnread(0);
    }

    private void recordUnread(int newlySent) {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        long now = pending == null ? 0 : pending.totalPendingWriteBytes();
        if (now != 0 || unread != 0) {
            long written = Math.max(0, unread + newlySent - now);
            unread = now;
            budget.unread(account, now, written);
            updateReading();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (account != null) {
            measureUnread();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (account != null) {
            guard.ended(this);
            budget.remove(account);
            session.disconnected();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (cause instanceof TooLongFrameException && session != null) {
            session.malformed("a message is longer than 1 MiB");
        } else if (!(cause instanceof IOException)) {
            LOG.error("event=session_failed", cause);
        }
        channel.close();
    }

    @Override
    public void send(List<StatementMessage> messages) {
        int sent = StatementLines.write(channel, messages);
        if (messages.get(messages.size() - 1).kind() == MessageKind.READY) {
            budget.answered(account);
            connectAnswered = true;
        }
        recordUnread(sent);
        if (decodingPaused || !channel.config().isAutoRead()) {
            updateReading();
        }
    }

    @Override
    public void close() {
        StatementLines.closeAfterWrites(channel);
    }

    /** Runs outside of the current call, which may concern another session. */
    @Override
    public void close(CloseReason reason) {
        guard.closed(this, reason);
        channel.config().setAutoRead(false);
        channel.eventLoop().execute(() -> end(reason));
    }

    private void end(CloseReason reason) {
        boolean mayHaveRun = connectAnswered && account.unanswered() > 0;
        session.disconnected();
        if (account.unreadBytes() > 0) {
            channel.close();
            return;
        }
        sendErrorAndClose(mayHaveRun ? ErrorCode.INDOUBT : ErrorCode.OVERLOAD, reason);
    }

    private void sendErrorAndClose(ErrorCode code, CloseReason reason) {
        String hint = code == ErrorCode.OVERLOAD ? RETRY_HINT : "";
        StatementLines.write(
                channel,
                List.of(StatementMessage.of(MessageKind.ERROR, code.name(), hint + reason.text())));
        StatementLines.closeAfterWrites(channel);
        channel.eventLoop()
                .schedule(() -> channel.close(), CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
