/** The process of an entry VM: reads the settings, handles termination, sets the exit code. */
package org.toucanmast.daemon;
