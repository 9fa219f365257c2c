/** Routes from database names to groups of servers. */
package org.ragwortmoor.state.routes;
