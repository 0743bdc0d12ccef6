package org.toucanmast.runtime.port;

import org.toucanmast.core.group.Position;

/**
 * The status that an endpoint reports about itself.
 *
 * @param claimsPrimary whether the endpoint considers itself the primary of its group
 * @param term the endpoint's current term
 * @param received the newest position that the endpoint received, applied or not
 */
public record EndpointStatus(boolean claimsPrimary, long term, Position received) {}
