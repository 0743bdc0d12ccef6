package org.toucanmast.core.group;

import java.util.Locale;

/** Condition under which the success of a write may be acknowledged to its caller. */
public enum AcknowledgementRule {
  /**
   * After the write, a majority was observed in the write's term; costs one round trip to the
   * endpoints.
   */
  TERM {
    @Override
    boolean isConfirmedBy(EndpointStatus status, Position write) {
      return status.term() == write.term();
    }
  },
  /** In addition, a majority holds the write, so that it survives the loss of the primary. */
  POSITION {
    @Override
    boolean isConfirmedBy(EndpointStatus status, Position write) {
      return status.term() == write.term()
          && status.log().coverageOf(write) == LogSummary.Coverage.COVERED;
    }
  };

  /**
   * Returns the rule for its name in the configuration, {@code term} or {@code position}.
   *
   * @throws IllegalArgumentException when no rule has this name
   */
  public static AcknowledgementRule ofSetting(String text) {
    return valueOf(text.toUpperCase(Locale.ROOT));
  }

  /**
   * Returns whether an endpoint's status, requested after the write was applied, confirms the
   * write.
   */
  abstract boolean isConfirmedBy(EndpointStatus status, Position write);
}
