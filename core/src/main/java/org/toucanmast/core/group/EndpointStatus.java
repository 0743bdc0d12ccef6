package org.toucanmast.core.group;

import static java.util.Objects.requireNonNull;

/**
 * What an endpoint said of itself.
 *
 * @param endpoint its name
 * @param term the highest term that it granted or follows
 * @param role what it does in that term
 * @param log its log
 */
public record EndpointStatus(String endpoint, long term, Role role, LogSummary log) {
  /** Refuses missing parts. */
  public EndpointStatus {
    requireNonNull(endpoint, "endpoint");
    requireNonNull(role, "role");
    requireNonNull(log, "log");
  }

  /** Returns the end of its log. */
  public Position position() {
    return log.end();
  }
}
