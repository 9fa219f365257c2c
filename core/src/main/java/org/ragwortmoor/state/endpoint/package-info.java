/** Calls to one endpoint (database server) and its answers, independent of the wire format. */
package org.ragwortmoor.state.endpoint;
