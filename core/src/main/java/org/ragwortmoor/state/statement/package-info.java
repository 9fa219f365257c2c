/** Messages of the statement protocol as immutable values. */
package org.ragwortmoor.state.statement;
