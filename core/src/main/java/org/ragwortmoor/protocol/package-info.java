/** Conversions between value types and their protobuf messages or lines, and frame limits. */
package org.ragwortmoor.protocol;
