/** The links between VMs: Netty, protobuf and mutual TLS. */
package org.toucanmast.runtime.peer;
