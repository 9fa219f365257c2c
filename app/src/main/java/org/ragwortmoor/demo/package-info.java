/** A demonstration that runs an embedded deployment and checks each promise on it. */
package org.ragwortmoor.demo;
