package org.toucanmast.runtime.peer;

/**
 * A peer as it named itself when its link began.
 *
 * @param name its VM name, which its certificate confirms
 * @param dataCentre where it runs
 * @param address the address of its peer listener
 * @param incarnation differs in each run of the process
 */
public record PeerIdentity(String name, String dataCentre, String address, long incarnation) {}
