/** The clocks of a VM. */
package org.toucanmast.runtime.clock;
