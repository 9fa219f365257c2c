package org.ragwortmoor.state.log;

/**
 * The identity of a node and of its data folder.
 *
 * @param node node id from the settings
 * @param incarnation random number created with the data folder; 0 if unknown
 */
public record MemberId(String node, long incarnation) {
    @Override
    public String toString() {
        return node + "/" + Long.toHexString(incarnation);
    }
}
