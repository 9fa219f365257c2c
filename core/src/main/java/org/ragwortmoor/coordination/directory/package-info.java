/** Control group decisions on membership, failure detection and promotions. */
package org.ragwortmoor.coordination.directory;
