/**
 * Durable log, vote, identity and snapshots of a control process, on top of a storage interface.
 */
package org.ragwortmoor.state.log;
