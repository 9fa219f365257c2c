package org.ragwortmoor.coordination.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/**
 * Index of the members and their floor numbers, which avoids a scan over all members for each
 * share.
 */
final class MemberIndex {
    private final Map<String, MemberProxy> members = new HashMap<>();
    private final int[] floorNumbers;

    MemberIndex(ControlState state) {
        state.members().values().forEach(m -> members.put(m.proxy(), m));
        floorNumbers =
                members.values().stream().mapToInt(MemberProxy::floorNumber).sorted().toArray();
    }

    /** Returns the member, or null if the proxy is no member. */
    MemberProxy member(String proxy) {
        return members.get(proxy);
    }

    int size() {
        return members.size();
    }

    /** Returns the floor of a proxy at an endpoint with this connection limit. */
    int floor(String proxy, int connectionLimit) {
        MemberProxy member = members.get(proxy);
        boolean hasFloor =
                member != null && member.floorNumber() < ShareAllocator.floors(connectionLimit);
        return hasFloor ? 1 : 0;
    }

    /** Returns the sum of the floors of all members at an endpoint with this connection limit. */
    int floorSum(int connectionLimit) {
        int index = Arrays.binarySearch(floorNumbers, ShareAllocator.floors(connectionLimit));
        return index >= 0 ? index : -index - 1;
    }
}
