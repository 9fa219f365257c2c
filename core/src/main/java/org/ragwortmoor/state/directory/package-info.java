/** The replicated directory: active routes, known servers and ordered promotions. */
package org.ragwortmoor.state.directory;
