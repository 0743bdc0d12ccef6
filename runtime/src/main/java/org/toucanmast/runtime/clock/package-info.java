/** The monotonic clock of a VM, and the detection of suspensions and clock changes. */
package org.toucanmast.runtime.clock;
