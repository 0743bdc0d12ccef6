/** Rates and bursts of customers, shared by all VMs. */
package org.toucanmast.core.allowance;
