package org.toucanmast.cli.explain;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.toucanmast.runtime.events.EventKind;

/**
 * The log lines of one request in causal order: first the lines that led to the outcome, among them
 * those of gateways, then the outcome as the origin VM reported it to the caller.
 *
 * <p>Lines are not sorted by time alone: VM clocks differ, so the outcome may have an earlier time
 * than the lines that led to it.
 *
 * @param lines an unmodifiable list, sorted when the record is created
 */
record RequestLines(List<LogLine> lines) {
  private static final List<EventKind> OUTCOME_KINDS =
      List.of(EventKind.REQUEST_FAILED, EventKind.REQUEST_SLOW, EventKind.REQUEST_SERVED);

  RequestLines {
    lines =
        lines.stream()
            .sorted(Comparator.comparing(RequestLines::isOutcome).thenComparing(LogLine::time))
            .toList();
  }

  private static boolean isOutcome(LogLine line) {
    return OUTCOME_KINDS.stream().anyMatch(line::hasKind);
  }

  /** Returns the last line on the outcome for the caller or, if there is none, of a gateway. */
  Optional<LogLine> outcome() {
    Optional<LogLine> reported =
        lines.stream().filter(RequestLines::isOutcome).reduce((before, after) -> after);
    return reported.isPresent() ? reported : lastGatewayLine();
  }

  /** Returns the last line that a gateway wrote. */
  Optional<LogLine> lastGatewayLine() {
    return lines.stream()
        .filter(line -> line.hasKind(EventKind.REQUEST_AT_GATEWAY))
        .reduce((before, after) -> after);
  }

  String outcomeCode() {
    return outcome().map(line -> line.field("code")).orElse("");
  }

  String outcomeReason() {
    return outcome().map(line -> line.field("reason")).orElse("");
  }

  boolean isSlow() {
    return outcome()
        .filter(
            line -> line.hasKind(EventKind.REQUEST_SLOW) || line.event().equals("slow at gateway"))
        .isPresent();
  }

  boolean hasEvent(String event) {
    return lines.stream().anyMatch(line -> line.event().equals(event));
  }

  /** Returns the first value of a field that is not empty, or an empty text. */
  String firstValueOf(String field) {
    return lines.stream()
        .map(line -> line.field(field))
        .filter(value -> !value.isEmpty())
        .findFirst()
        .orElse("");
  }
}
