/** The rule file: parser, checks, decisions, differences and explanations. */
package org.ragwortmoor.state.rules;
