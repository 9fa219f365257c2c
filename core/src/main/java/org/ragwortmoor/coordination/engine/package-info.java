/** Per-group request handling of a proxy as a deterministic state machine without I/O. */
package org.ragwortmoor.coordination.engine;
