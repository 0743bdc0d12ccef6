/** Which VMs exist and which of them owns a duty. */
package org.toucanmast.core.membership;
