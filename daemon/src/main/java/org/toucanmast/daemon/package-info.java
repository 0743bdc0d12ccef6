/** The entry VM as a process: settings in, signals handled, exit codes out. */
package org.toucanmast.daemon;
