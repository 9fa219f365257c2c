package org.ragwortmoor.logging;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.LoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import org.junit.jupiter.api.Test;

/** The lines that on-call reads. */
class LineEncoderTest {
    private final LoggerContext context = new LoggerContext();
    private final Logger logger = context.getLogger("org.ragwortmoor.Example");

    private String encoded(String time, Throwable thrown) {
        LoggingEvent event =
                new LoggingEvent(
                        "logger", logger, Level.WARN, "event=x id={}", thrown, new Object[] {7});
        event.setInstant(Instant.parse(time));
        return new String(new LineEncoder().encode(event), StandardCharsets.UTF_8);
    }

    @Test
    void aLineHasTimeLevelAndMessage() {
        assertThat(encoded("2026-12-04T03:04:05.006Z", null))
                .isEqualTo("ts=03:04:05.006 level=WARN event=x id=7\n");
        assertThat(encoded("1969-12-31T23:59:59.990Z", null)).startsWith("ts=23:59:59.990 ");
    }

    @Test
    void anErrorKeepsItsTrace() {
        assertThat(encoded("2026-12-04T03:04:05.006Z", new IllegalStateException("torn")))
                .contains("java.lang.IllegalStateException: torn")
                .contains("at org.ragwortmoor.logging.LineEncoderTest");
    }

    @Test
    void theConfiguratorWritesOwnLinesAndOnlyWarningsOfLibraries() {
        PrintStream standard = System.out;
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        System.setOut(new PrintStream(written, true, StandardCharsets.UTF_8));
        context.setMDCAdapter(new LogbackMDCAdapter());
        try {
            Configurator.ExecutionStatus status = new LineLogConfigurator().configure(context);
            assertThat(status).isEqualTo(Configurator.ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY);
            logger.info("event=kept");
            context.getLogger("io.library").info("event=dropped");
            context.getLogger("io.library").warn("event=library");
            context.stop();
        } finally {
            System.setOut(standard);
        }
        assertThat(written.toString(StandardCharsets.UTF_8))
                .contains("level=INFO event=kept\n")
                .contains("level=WARN event=library\n")
                .doesNotContain("event=dropped");
    }
}
