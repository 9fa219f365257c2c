package org.ragwortmoor.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.StackTraceElementProxy;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;

/** Encodes a log event as one line: time of day in UTC, level and message. */
public final class LineEncoder extends EncoderBase<ILoggingEvent> {
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int SECONDS_PER_MINUTE = 60;
    private static final int MINUTES_PER_HOUR = 60;
    private static final int HOURS_PER_DAY = 24;
    private static final int TEN = 10;
    private static final int HUNDRED = 100;
    private static final byte[] NONE = {};

    @Override
    public byte[] headerBytes() {
        return NONE;
    }

    @Override
    public byte[] encode(ILoggingEvent event) {
        StringBuilder line = new StringBuilder("ts=");
        appendTime(line, event.getTimeStamp());
        line.append(" level=").append(event.getLevel());
        line.append(' ');
        line.append(LogMessage.format(event.getMessage(), event.getArgumentArray())).append('\n');
        appendTrace(line, event.getThrowableProxy());
        return line.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static void appendTrace(StringBuilder line, IThrowableProxy thrown) {
        for (IThrowableProxy cause = thrown; cause != null; cause = cause.getCause()) {
            line.append(cause == thrown ? "" : "Caused by: ").append(cause.getClassName());
            line.append(": ").append(LogMessage.escape(String.valueOf(cause.getMessage()), false));
            line.append('\n');
            StackTraceElementProxy[] steps = cause.getStackTraceElementProxyArray();
            for (int i = 0; i < steps.length - cause.getCommonFrames(); i++) {
                line.append('\t').append(steps[i].getSTEAsString()).append('\n');
            }
        }
    }

    private static void appendTime(StringBuilder line, long epochMillis) {
        long seconds = Math.floorDiv(epochMillis, MILLIS_PER_SECOND);
        long minutes = Math.floorDiv(seconds, SECONDS_PER_MINUTE);
        long hours = Math.floorDiv(minutes, MINUTES_PER_HOUR);
        appendTwo(line, Math.floorMod(hours, HOURS_PER_DAY)).append(':');
        appendTwo(line, Math.floorMod(minutes, MINUTES_PER_HOUR)).append(':');
        appendTwo(line, Math.floorMod(seconds, SECONDS_PER_MINUTE)).append('.');
        int millis = Math.floorMod(epochMillis, MILLIS_PER_SECOND);
        line.append(millis < HUNDRED ? "0" : "");
        appendTwo(line, millis);
    }

    private static StringBuilder appendTwo(StringBuilder line, int number) {
        return line.append(number < TEN ? "0" : "").append(number);
    }

    @Override
    public byte[] footerBytes() {
        return NONE;
    }
}
