package org.ragwortmoor.daemon;

import java.nio.file.Path;
import java.util.Map;
import org.ragwortmoor.coordination.consensus.ConsensusSettings;

/**
 * Checked configuration of a control process.
 *
 * @param nodeId identifier of the process in the control group
 * @param failureDomain failure domain in which it runs
 * @param peerHost IP number for other processes
 * @param peerPort port for other processes
 * @param httpHost IP number of the HTTP API
 * @param httpPort port of the HTTP API; 0 for any
 * @param members peer addresses of the first members of the control group by node identifier
 * @param httpAddresses HTTP addresses of the members by node identifier, for hints to operators
 * @param dataFolder folder of the durable files
 * @param maxRequestBytes largest request body in bytes, which bounds the rule file
 * @param consensus settings of the replicated log
 */
public record ControlConfig(
        String nodeId,
        String failureDomain,
        String peerHost,
        int peerPort,
        String httpHost,
        int httpPort,
        Map<String, String> members,
        Map<String, String> httpAddresses,
        Path dataFolder,
        long maxRequestBytes,
        ConsensusSettings consensus) {
    /** Copies the maps. */
    public ControlConfig {
        members = Map.copyOf(members);
        httpAddresses = Map.copyOf(httpAddresses);
    }
}
