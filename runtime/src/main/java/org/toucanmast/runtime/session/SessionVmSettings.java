package org.toucanmast.runtime.session;

import org.toucanmast.core.mirror.ChangePromises;

/**
 * The settings of a VM that serves sessions.
 *
 * @param name the name of the VM, unique in the fleet
 * @param host the IP address
 * @param callerPort the port for callers
 * @param linkPort the port for links from peers
 * @param dataCentre the data centre that the VM runs in
 * @param capacity the processor capacity, in cores
 * @param graceInMilliseconds the time between the request to stop and the end of the process
 * @param promises how soon acknowledged changes must have taken effect
 */
public record SessionVmSettings(
    String name,
    String host,
    int callerPort,
    int linkPort,
    String dataCentre,
    double capacity,
    long graceInMilliseconds,
    ChangePromises promises) {}
