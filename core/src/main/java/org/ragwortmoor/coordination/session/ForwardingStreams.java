package org.ragwortmoor.coordination.session;

/** Numbers the streams of a proxy. */
final class ForwardingStreams {
    private long last;

    long next() {
        return ++last;
    }
}
