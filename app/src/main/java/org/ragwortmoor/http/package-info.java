/** HTTP API with JSON bodies for callers and operators, served by Micronaut. */
package org.ragwortmoor.http;
