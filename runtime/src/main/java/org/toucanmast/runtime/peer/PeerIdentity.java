package org.toucanmast.runtime.peer;

/**
 * The identity of a peer, from the hello that it sent when the link was opened.
 *
 * @param name the VM name, which the certificate confirms
 * @param dataCentre the data centre that the peer runs in
 * @param address the address on which the peer accepts links
 * @param incarnation a number that differs for each run of the peer's process
 */
public record PeerIdentity(String name, String dataCentre, String address, long incarnation) {}
