/** Settings of the processes: one name per setting for flag, environment variable and file. */
package org.ragwortmoor.settings;
