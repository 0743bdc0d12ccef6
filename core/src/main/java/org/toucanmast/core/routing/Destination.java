package org.toucanmast.core.routing;

import org.toucanmast.core.group.Position;

/**
 * Where a request is sent, and what its answer must show.
 *
 * @param endpoint the endpoint's name
 * @param primary whether the endpoint must be the primary of the term
 * @param term the term the request carries
 * @param required a position that the answering log must cover
 */
public record Destination(String endpoint, boolean primary, long term, Position required) {}
