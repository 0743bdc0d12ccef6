/** The operators' command line. */
package org.toucanmast.cli;
