/** Decisions about the links between VMs: when to send heartbeats, and when a peer is suspected. */
package org.toucanmast.core.link;
