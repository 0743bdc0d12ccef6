/** Runs transactions, each pinned to one endpoint connection of the VM that owns it. */
package org.toucanmast.runtime.transaction;
