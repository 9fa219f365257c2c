/** Raft-style replicated log as a deterministic state machine without I/O. */
package org.ragwortmoor.coordination.consensus;
