/** Messages of the statement protocol as plain values. */
package org.ragwortmoor.state.statement;
