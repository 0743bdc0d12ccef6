package org.toucanmast.runtime.port;

import org.toucanmast.core.group.Position;

/**
 * What an endpoint says of itself.
 *
 * @param claimsPrimary whether it believes that it leads
 * @param term its term
 * @param received the newest position that it received, applied or not
 */
public record EndpointStatus(boolean claimsPrimary, long term, Position received) {}
