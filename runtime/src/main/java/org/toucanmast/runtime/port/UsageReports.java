package org.toucanmast.runtime.port;

import io.vertx.core.Future;
import java.util.SortedMap;

/** Sends usage reports to the platform. */
public interface UsageReports {

  /** The platform's answer to a report. */
  enum Outcome {
    /** The report is accepted, or repeats an accepted one exactly. */
    ACCEPTED,
    /** The platform has seen a higher fencing token. */
    REFUSED,
    /** The platform did nothing; the report can be sent again. */
    UNAVAILABLE,
    /** No answer was received; the report may still be accepted. */
    UNKNOWN
  }

  /**
   * Reports the requests of a window by customer.
   *
   * @param window the number of the window: its start, in window lengths since 1970
   * @param holder the VM that holds the duty
   * @param fencingToken the platform refuses a report if it has seen a higher token
   */
  Future<Outcome> report(
      long window, SortedMap<String, Integer> counts, String holder, long fencingToken);
}
