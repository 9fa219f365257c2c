/** Netty transports to endpoints and between processes. */
package org.ragwortmoor.transport;
