/** Session tokens: content, signed text and typed errors. */
package org.ragwortmoor.state.token;
