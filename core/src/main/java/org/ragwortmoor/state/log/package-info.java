/** Durable log, vote, identity and snapshots of a control process, over a storage interface. */
package org.ragwortmoor.state.log;
