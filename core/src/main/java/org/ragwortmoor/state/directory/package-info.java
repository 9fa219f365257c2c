/** The replicated directory: routes in force, known servers and ordered promotions. */
package org.ragwortmoor.state.directory;
