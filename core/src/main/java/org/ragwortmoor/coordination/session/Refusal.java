package org.ragwortmoor.coordination.session;

/**
 * The answer to a message of a caller that is refused before anything was sent to a server.
 *
 * @param retryAfterMillis delay that the caller is told if the code is retryable
 */
record Refusal(String code, String reason, int retryAfterMillis) {}
