/**
 * State of a database group as known to a VM: observation rounds, log positions and the
 * acknowledgement of writes.
 */
package org.toucanmast.core.group;
