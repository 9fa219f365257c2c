/** Request handling of a proxy for one group, as a deterministic state machine without I/O. */
package org.ragwortmoor.coordination.engine;
