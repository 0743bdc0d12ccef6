/** Open-loop load, its measures, its history, and the checker of histories. */
package org.toucanmast.standin.load;
