/** Immutable value types shared by all layers: positions, term histories, endpoints and groups. */
package org.ragwortmoor.state;
