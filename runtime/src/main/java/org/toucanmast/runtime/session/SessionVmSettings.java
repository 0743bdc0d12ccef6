package org.toucanmast.runtime.session;

/**
 * What a VM that serves sessions must know of itself.
 *
 * @param name its name, unique in the fleet
 * @param host its IP address
 * @param callerPort the port for callers
 * @param linkPort the port for links of other VMs
 * @param dataCentre where it runs
 * @param capacity its processor, in cores
 * @param graceInMilliseconds the time between the request to stop and the end of the process
 */
public record SessionVmSettings(
    String name,
    String host,
    int callerPort,
    int linkPort,
    String dataCentre,
    double capacity,
    long graceInMilliseconds) {}
