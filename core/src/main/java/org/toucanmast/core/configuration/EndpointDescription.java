package org.toucanmast.core.configuration;

/**
 * The configuration of one endpoint of a database group.
 *
 * @param name the endpoint's name
 * @param address its IP address and port
 * @param dataCentre the name of its data centre
 * @param connections the maximum number of connections from all VMs together
 * @param slots the number of requests that it runs concurrently
 * @param leaving whether operators are removing it from the group
 */
public record EndpointDescription(
    String name, String address, String dataCentre, int connections, int slots, boolean leaving) {}
