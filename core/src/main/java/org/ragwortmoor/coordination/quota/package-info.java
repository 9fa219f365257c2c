/** Limits on the operations of workspaces, summed over all proxies. */
package org.ragwortmoor.coordination.quota;
