/** Decisions about the planned stop of a VM. */
package org.toucanmast.core.stop;
