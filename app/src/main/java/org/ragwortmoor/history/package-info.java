/** Histories of concurrent callers and the check of the promises on them. */
package org.ragwortmoor.history;
