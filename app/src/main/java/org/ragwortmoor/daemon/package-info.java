/** Hosts that connect the decision library to transports, timers, threads and the HTTP API. */
package org.ragwortmoor.daemon;
