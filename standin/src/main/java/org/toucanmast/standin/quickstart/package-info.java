/** A whole fleet on one machine, for a first look and for experiments. */
package org.toucanmast.standin.quickstart;
