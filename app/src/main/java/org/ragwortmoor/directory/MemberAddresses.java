package org.ragwortmoor.directory;

/**
 * Maps the control address of a directory process, which identifies it, to its peer address. The
 * peer port is the same on all VMs.
 *
 * @param peerPort port for other processes
 */
record MemberAddresses(int peerPort) {
    /**
     * Returns the peer address of the process with this control address. The result of a text that
     * is no address is none either, and cannot be connected to.
     */
    String of(String controlAddress) {
        int colon = controlAddress.lastIndexOf(':');
        return (colon < 0 ? controlAddress : controlAddress.substring(0, colon)) + ":" + peerPort;
    }
}
