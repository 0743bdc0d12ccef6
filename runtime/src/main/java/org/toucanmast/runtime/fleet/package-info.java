/**
 * The links between VMs: statements for gateways, heartbeats, token requests, and the exchange of
 * store mirrors.
 */
package org.toucanmast.runtime.fleet;
