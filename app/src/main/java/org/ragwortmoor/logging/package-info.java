/** Log output of the daemons of the statement service. */
package org.ragwortmoor.logging;
