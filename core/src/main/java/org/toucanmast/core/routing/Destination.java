package org.toucanmast.core.routing;

import org.toucanmast.core.group.Position;

/**
 * The endpoint to which a request is sent, and the conditions that its reply must meet.
 *
 * @param endpoint the endpoint's name
 * @param primary whether the endpoint must be the primary of the term
 * @param term the term that the request carries
 * @param required the position that the endpoint's log must cover
 */
public record Destination(String endpoint, boolean primary, long term, Position required) {}
