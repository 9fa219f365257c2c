/** Daemons of the statement service: the proxy of callers and the directory's control process. */
package org.ragwortmoor.directory;
