/** Decides how long statements wait, in which order they are served, and when they are refused. */
package org.ragwortmoor.coordination.admission;
