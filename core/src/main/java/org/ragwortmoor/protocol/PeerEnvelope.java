package org.ragwortmoor.protocol;

/**
 * A message between processes with its sender.
 *
 * @param sender identifier of the sending process
 * @param body content of the message
 */
public record PeerEnvelope(String sender, PeerBody body) {}
