/** Decides which workspace a caller belongs to and whether its operations may start. */
package org.ragwortmoor.coordination.workspace;
