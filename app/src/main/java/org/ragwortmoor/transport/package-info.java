/**
 * Netty transports: connections to endpoints and between processes, the statement protocol and
 * HTTP.
 */
package org.ragwortmoor.transport;
