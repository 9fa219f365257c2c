package org.ragwortmoor.directory;

/**
 * Maps the control address of a directory process, which identifies it, to its peer address. The
 * peer port is the same on all VMs.
 *
 * @param peerPort port for other processes
 */
record MemberAddresses(int peerPort) {
    /** Returns the peer address of the process with this control address. */
    String of(String controlAddress) {
        int colon = controlAddress.lastIndexOf(':');
        return controlAddress.substring(0, colon) + ":" + peerPort;
    }
}
