/** The rule file: grammar, checks, decisions, differences and explanations. */
package org.ragwortmoor.state.rules;
