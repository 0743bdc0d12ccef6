package org.toucanmast.core.configuration;

import java.util.List;
import org.toucanmast.core.group.AcknowledgementRule;

/**
 * One database group.
 *
 * @param name its name
 * @param endpoints its endpoints
 * @param rule when a write counts as done
 * @param preferredPrimary the endpoint that operators want as primary, or an empty text
 */
public record Database(
    String name,
    List<EndpointDescription> endpoints,
    AcknowledgementRule rule,
    String preferredPrimary) {
  /** Keeps a copy of the endpoints. */
  public Database {
    endpoints = List.copyOf(endpoints);
  }

  /** Returns how many endpoints are more than half of the group. */
  public int majority() {
    return endpoints.size() / 2 + 1;
  }
}
