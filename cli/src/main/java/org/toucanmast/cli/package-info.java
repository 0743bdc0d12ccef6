/** The command line for operators: starts a VM, edits the configuration, inspects the fleet. */
package org.toucanmast.cli;
