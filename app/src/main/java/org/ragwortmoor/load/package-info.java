/** Open-loop load against a deployment, faults on a schedule, results and measures. */
package org.ragwortmoor.load;
