/** A small stand-in for a database server with asynchronous replication and switchable faults. */
package org.ragwortmoor.standin;
