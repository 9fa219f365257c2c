/** Replicated log of the control group as a deterministic state machine without I/O. */
package org.ragwortmoor.coordination.consensus;
