/** Membership of the fleet, and assignment of keys to VMs by rendezvous hashing. */
package org.toucanmast.core.membership;
