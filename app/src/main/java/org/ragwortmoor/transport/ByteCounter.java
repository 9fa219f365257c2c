package org.ragwortmoor.transport;

/** Counts the bytes of messages. */
public interface ByteCounter {
    /** Counts received bytes. */
    void received(int count);

    /** Counts sent bytes. */
    void sent(int count);

    /** Returns a counter that counts nothing. */
    static ByteCounter none() {
        return new ByteCounter() {
            @Override
            public void received(int count) {}

            @Override
            public void sent(int count) {}
        };
    }
}
