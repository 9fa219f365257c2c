/** Replicated state of the control group and the decisions of its leader, without I/O. */
package org.ragwortmoor.coordination.control;
