/** Decisions of the control group about members, servers and promotions. */
package org.ragwortmoor.coordination.directory;
