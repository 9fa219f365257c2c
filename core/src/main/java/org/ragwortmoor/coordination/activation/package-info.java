/** Activation and enforcement of rules versions in a proxy, without I/O and clocks. */
package org.ragwortmoor.coordination.activation;
