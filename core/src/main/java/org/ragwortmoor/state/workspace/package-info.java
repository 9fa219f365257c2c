/** Workspaces: callers that share keys and a limit. */
package org.ragwortmoor.state.workspace;
