/** Rates of customers over all VMs, shared out by demand. */
package org.toucanmast.core.quota;
