package org.toucanmast.core.configuration;

import java.util.List;
import org.toucanmast.core.group.AcknowledgementRule;

/**
 * A database and the group of endpoints that replicate it.
 *
 * @param name the name of the database
 * @param endpoints the endpoints of the group
 * @param acknowledgementRule the condition under which a write is acknowledged to its caller
 * @param preferredPrimary the name of the endpoint that operators prefer as primary, or an empty
 *     string
 */
public record Database(
    String name,
    List<EndpointDescription> endpoints,
    AcknowledgementRule acknowledgementRule,
    String preferredPrimary) {
  /** Creates a database with an unmodifiable copy of the endpoints. */
  public Database {
    endpoints = List.copyOf(endpoints);
  }

  /** Returns the smallest number of endpoints that is more than half of the group. */
  public int majority() {
    return endpoints.size() / 2 + 1;
  }
}
