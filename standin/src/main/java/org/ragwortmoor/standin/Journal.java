package org.ragwortmoor.standin;

/** Receives every change of an endpoint's durable state before it takes effect in memory. */
public interface Journal extends AutoCloseable {
    /** Keeps nothing: the endpoint loses its state when its process ends. */
    Journal NONE =
            new Journal() {
                @Override
                public void promised(Promise promise) {}

                @Override
                public void appended(LogEntry entry) {}

                @Override
                public void truncated(long lastIndex) {}

                @Override
                public void close() {}
            };

    /**
     * Records a promise.
     *
     * @throws java.io.UncheckedIOException if the record could not be written
     */
    void promised(Promise promise);

    /**
     * Records an entry at the end of the log.
     *
     * @throws java.io.UncheckedIOException if the record could not be written
     */
    void appended(LogEntry entry);

    /**
     * Records that the entries behind {@code lastIndex} were discarded.
     *
     * @throws java.io.UncheckedIOException if the record could not be written
     */
    void truncated(long lastIndex);

    @Override
    void close();
}
