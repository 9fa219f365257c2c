/** Decides which proxies hold connections to the servers of a group, and how many. */
package org.ragwortmoor.coordination.placement;
