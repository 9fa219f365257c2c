/** Statement sessions: pinned transactions, read freshness, connections to servers. */
package org.ragwortmoor.coordination.session;
