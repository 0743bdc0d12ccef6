/** The links between VMs: statements for gateways, pulses, and what the store told others. */
package org.toucanmast.runtime.fleet;
