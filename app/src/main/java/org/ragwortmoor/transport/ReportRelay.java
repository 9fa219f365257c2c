package org.ragwortmoor.transport;

import com.google.protobuf.ByteString;
import java.util.function.Consumer;

/** Passes on reports of proxies that do not reach the directory themselves. */
public interface ReportRelay {
    /**
     * Passes on a report.
     *
     * @param from name of the proxy that sent it
     * @param reply sends an update of the directory back to that proxy
     */
    void report(String from, ByteString report, Consumer<ByteString> reply);
}
