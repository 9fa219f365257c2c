/** Session tokens: content, signed text form and typed errors. */
package org.ragwortmoor.state.token;
