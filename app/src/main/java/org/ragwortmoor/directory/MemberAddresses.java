package org.ragwortmoor.directory;

/**
 * Peer addresses of directory processes. A process is identified by its control address, and the
 * peer port is the same on all machines.
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
