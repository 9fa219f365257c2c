/** Command line of the {@code ragwortmoor} program. */
package org.ragwortmoor.cli;
