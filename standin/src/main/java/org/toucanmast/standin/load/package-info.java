/** Open-loop load generator, its request history and report, and the checker of histories. */
package org.toucanmast.standin.load;
