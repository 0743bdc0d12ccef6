/** Explains what happened to one request, from the log lines of all VMs. */
package org.toucanmast.cli.explain;
