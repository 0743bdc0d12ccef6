/** Links between VMs, with Netty, protobuf and mutual TLS. */
package org.toucanmast.runtime.peer;
