package org.ragwortmoor.logging;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ConfiguratorRank;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;
import ch.qos.logback.core.status.Status;

/**
 * Logs structured lines to standard output without ever waiting for it.
 *
 * <p>The configuration is code because reading one from XML takes a third of a process's start.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public final class LineLogConfigurator extends ContextAwareBase implements Configurator {
    /** Lines that may wait for standard output; some seconds of a busy process. */
    private static final int QUEUED_LINES = 1_024;

    private static final String OWN_PACKAGE = "org.ragwortmoor";

    @Override
    public ExecutionStatus configure(LoggerContext loggers) {
        // With a listener, the library does not prepare to print its own history at every start.
        loggers.getStatusManager().add(LineLogConfigurator::report);
        LineEncoder encoder = new LineEncoder();
        encoder.setContext(loggers);
        encoder.start();
        ConsoleAppender<ILoggingEvent> output = new ConsoleAppender<>();
        output.setContext(loggers);
        output.setName("STDOUT");
        output.setEncoder(encoder);
        output.start();
        AsyncAppender lines = new AsyncAppender();
        lines.setContext(loggers);
        lines.setName("LINES");
        lines.setQueueSize(QUEUED_LINES);
        // Lines are dropped rather than waited for.
        lines.setNeverBlock(true);
        lines.setDiscardingThreshold(0);
        lines.addAppender(output);
        lines.start();
        Logger root = loggers.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.WARN);
        root.addAppender(lines);
        loggers.getLogger(OWN_PACKAGE).setLevel(Level.INFO);
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
    }

    private static void report(Status status) {
        if (status.getEffectiveLevel() >= Status.WARN) {
            System.err.println("level=WARN event=logging_problem reason=\"" + status + "\"");
        }
    }
}
