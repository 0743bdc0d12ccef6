/** Starts a complete fleet as processes of one host, for the quickstart, experiments and tests. */
package org.toucanmast.standin.fleet;
