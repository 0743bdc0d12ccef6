/** A whole fleet as processes on one machine, for a first look, experiments and tests. */
package org.toucanmast.standin.fleet;
