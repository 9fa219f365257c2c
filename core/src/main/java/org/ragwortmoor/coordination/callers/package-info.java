/** Decides which callers and connections are paused, refused or closed to protect a process. */
package org.ragwortmoor.coordination.callers;
