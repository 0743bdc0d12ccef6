/** Derives the cause of the outcome of one request from the log lines of all VMs. */
package org.toucanmast.cli.explain;
