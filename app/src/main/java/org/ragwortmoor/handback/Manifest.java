package org.ragwortmoor.handback;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import org.ragwortmoor.cli.Main;

/** The manifest of a complete export. */
final class Manifest {
    static final String FILE = "manifest.json";
    static final int FORMAT = 1;
    private static final String DIGEST = "sha256";

    /** Fields of a prefix that only a resumed export needs. */
    private static final List<String> PROGRESS =
            List.of("after", "complete", "checking", "firstSha256", "checkedAfter", "checkedBytes");

    private Manifest() {}

    /** Returns the manifest of a complete export. */
    static ObjectNode of(ExportState state) {
        ObjectNode manifest =
                ExportFiles.JSON
                        .createObjectNode()
                        .put("format", FORMAT)
                        .put("partner", state.partner())
                        .put("rulesVersion", state.rulesVersion())
                        .put("orderTime", state.orderTime())
                        .put("concurrentWrites", state.concurrentWrites())
                        .put("toolVersion", toolVersion());
        manifest.set("files", ExportFiles.JSON.valueToTree(state.prefixes()));
        manifest.path("files").forEach(f -> ((ObjectNode) f).remove(PROGRESS));
        manifest.put(DIGEST, digest(manifest));
        return manifest;
    }

    /** Returns the SHA-256 over all other fields, which name the digest of every file. */
    static String digest(JsonNode manifest) {
        ObjectNode rest = manifest.deepCopy();
        rest.remove(DIGEST);
        MessageDigest digest = ExportFiles.sha256();
        digest.update(rest.toString().getBytes(StandardCharsets.UTF_8));
        return ExportFiles.hex(digest);
    }

    private static String toolVersion() {
        String version = Main.class.getPackage().getImplementationVersion();
        return version == null ? "development" : version;
    }
}
