package org.ragwortmoor.coordination.balancing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The servers that may serve a read. The list is reused for every read, so that a choice allocates
 * nothing.
 *
 * @param <S> type of the servers
 */
public final class Candidates<S extends ServerLoad> {
    private static final int LOCAL = 1;
    private static final int PRIMARY = 2;
    private static final int IDLE = 4;

    private final List<S> servers = new ArrayList<>();
    private int[] properties = new int[4];

    /** Removes all candidates. */
    public void clear() {
        servers.clear();
    }

    /**
     * Adds a candidate.
     *
     * @param local whether the server runs in the failure domain of this proxy
     * @param primary whether the server is the primary of the group
     * @param idle whether an idle connection exists; if not, one has to be opened
     */
    public void add(S server, boolean local, boolean primary, boolean idle) {
        int index = servers.size();
        if (index == properties.length) {
            properties = Arrays.copyOf(properties, 2 * index);
        }
        properties[index] = (local ? LOCAL : 0) | (primary ? PRIMARY : 0) | (idle ? IDLE : 0);
        servers.add(server);
    }

    /** Returns the number of candidates. */
    public int size() {
        return servers.size();
    }

    /** Returns the candidate at the index. */
    public S server(int index) {
        return servers.get(index);
    }

    boolean local(int index) {
        return (properties[index] & LOCAL) != 0;
    }

    boolean primary(int index) {
        return (properties[index] & PRIMARY) != 0;
    }

    boolean idle(int index) {
        return (properties[index] & IDLE) != 0;
    }
}
