package org.ragwortmoor.state.log;

/**
 * A node together with the life of its disk.
 *
 * @param node node id from the settings
 * @param incarnation random number created with the data folder; 0 means "not known"
 */
public record MemberId(String node, long incarnation) {
    @Override
    public String toString() {
        return node + "/" + Long.toHexString(incarnation);
    }
}
