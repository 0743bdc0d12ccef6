package org.toucanmast.core.group;

import static java.util.Objects.requireNonNull;

/**
 * The status that an endpoint reported.
 *
 * @param endpoint the name of the endpoint
 * @param term the highest term that the endpoint has granted or follows
 * @param role its role in that term
 * @param log the summary of its log
 */
public record EndpointStatus(String endpoint, long term, Role role, LogSummary log) {
  /** Checks that no component is null. */
  public EndpointStatus {
    requireNonNull(endpoint, "endpoint");
    requireNonNull(role, "role");
    requireNonNull(log, "log");
  }

  /** Returns the position of the last entry of the endpoint's log. */
  public Position position() {
    return log.end();
  }
}
