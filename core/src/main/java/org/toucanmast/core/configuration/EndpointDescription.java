package org.toucanmast.core.configuration;

/**
 * One endpoint of a database group.
 *
 * @param name its name
 * @param address IP address and port
 * @param dataCentre where it stands
 * @param connections connections it accepts from the whole fleet
 * @param slots requests it runs at once
 * @param leaving whether operators are taking it away
 */
public record EndpointDescription(
    String name, String address, String dataCentre, int connections, int slots, boolean leaving) {}
