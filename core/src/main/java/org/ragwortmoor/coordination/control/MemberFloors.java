package org.ragwortmoor.coordination.control;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

/** The members indexed for the shares, so that one share does not cost a walk over all members. */
final class MemberFloors {
    private final Map<String, MemberProxy> members = new HashMap<>();
    private final int[] numbers;

    MemberFloors(ControlState state) {
        state.members().values().forEach(m -> members.put(m.proxy(), m));
        numbers = members.values().stream().mapToInt(MemberProxy::floorNumber).sorted().toArray();
    }

    /** Returns the member, or null. */
    MemberProxy member(String proxy) {
        return members.get(proxy);
    }

    int size() {
        return members.size();
    }

    /** Returns the floor of a proxy at an endpoint with this connection limit. */
    int floor(String proxy, int connectionLimit) {
        MemberProxy member = members.get(proxy);
        boolean has =
                member != null && member.floorNumber() < ShareAllocator.floors(connectionLimit);
        return has ? 1 : 0;
    }

    /** Returns the sum of the floors at an endpoint with this connection limit. */
    int sum(int connectionLimit) {
        int found = Arrays.binarySearch(numbers, ShareAllocator.floors(connectionLimit));
        return found >= 0 ? found : -found - 1;
    }
}
