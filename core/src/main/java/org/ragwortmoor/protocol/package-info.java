/** Messages between processes and their conversion to and from protobuf. */
package org.ragwortmoor.protocol;
