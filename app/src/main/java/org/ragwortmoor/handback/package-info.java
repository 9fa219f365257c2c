/** Export of a departing partner's records, and the check of such an export. */
package org.ragwortmoor.handback;
