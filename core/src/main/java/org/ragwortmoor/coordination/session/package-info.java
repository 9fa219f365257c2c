/** Statement sessions: transactions, bounded-staleness reads and server connections. */
package org.ragwortmoor.coordination.session;
