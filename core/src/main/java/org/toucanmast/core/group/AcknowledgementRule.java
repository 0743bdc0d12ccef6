package org.toucanmast.core.group;

import java.util.Locale;

/** When the success of a write may be passed on to its caller. */
public enum AcknowledgementRule {
  /** A majority is known at the write's term after the write; costs one round trip. */
  TERM {
    @Override
    boolean isConfirmedBy(EndpointStatus status, Position write) {
      return status.term() == write.term();
    }
  },
  /** A majority holds the write as well, so it survives the loss of the primary. */
  POSITION {
    @Override
    boolean isConfirmedBy(EndpointStatus status, Position write) {
      return status.term() == write.term()
          && status.log().coverageOf(write) == LogSummary.Coverage.COVERED;
    }
  };

  /** Returns the rule named in the configuration, {@code term} or {@code position}. */
  public static AcknowledgementRule ofSetting(String text) {
    return valueOf(text.toUpperCase(Locale.ROOT));
  }

  /**
   * Tells whether an endpoint's status, asked for after the write was applied, confirms the write.
   */
  abstract boolean isConfirmedBy(EndpointStatus status, Position write);
}
