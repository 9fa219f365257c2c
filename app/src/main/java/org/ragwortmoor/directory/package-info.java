/** Processes of the statement service: the statement proxy and the directory process. */
package org.ragwortmoor.directory;
