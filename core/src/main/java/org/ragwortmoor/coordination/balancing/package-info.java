/** Selects the server for a read from what a proxy has learned about the servers of a group. */
package org.ragwortmoor.coordination.balancing;
