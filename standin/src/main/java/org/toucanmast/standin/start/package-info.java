/** Measures the start of a VM that runs the platform's jar. */
package org.toucanmast.standin.start;
