/** Conversions between the shared records and their protobuf messages, and frame limits. */
package org.ragwortmoor.protocol;
