package org.ragwortmoor.protocol;

/**
 * A message between processes.
 *
 * @param sender identifier of the sending process
 * @param body the message
 */
public record PeerEnvelope(String sender, PeerBody body) {}
