/** Backups of the control state and the start of a new control group from one. */
package org.ragwortmoor.backup;
