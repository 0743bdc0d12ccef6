package org.toucanmast.cli.explain;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.toucanmast.runtime.events.EventKind;

/**
 * The lines of one request, in causal order: what gateways wrote, then what the caller was told.
 *
 * <p>Clocks of VMs differ, so that the outcome may carry an earlier time than what led to it.
 *
 * @param lines never changed
 */
record RequestLines(List<LogLine> lines) {
  private static final List<EventKind> OUTCOMES =
      List.of(EventKind.REQUEST_FAILED, EventKind.REQUEST_SLOW, EventKind.REQUEST_SERVED);

  RequestLines {
    lines =
        lines.stream()
            .sorted(Comparator.comparing(RequestLines::isOutcome).thenComparing(LogLine::time))
            .toList();
  }

  private static boolean isOutcome(LogLine line) {
    return OUTCOMES.stream().anyMatch(line::isOf);
  }

  /** Returns what the caller was told; a gateway's line stands in where that is missing. */
  Optional<LogLine> outcome() {
    Optional<LogLine> told =
        lines.stream().filter(RequestLines::isOutcome).reduce((before, after) -> after);
    return told.isPresent() ? told : atGateway();
  }

  /** Returns the last line of a gateway. */
  Optional<LogLine> atGateway() {
    return lines.stream()
        .filter(line -> line.isOf(EventKind.REQUEST_AT_GATEWAY))
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
        .filter(line -> line.isOf(EventKind.REQUEST_SLOW) || line.event().equals("slow at gateway"))
        .isPresent();
  }

  boolean has(String event) {
    return lines.stream().anyMatch(line -> line.event().equals(event));
  }

  /** Returns a field that some line of the request has. */
  String any(String field) {
    return lines.stream()
        .map(line -> line.field(field))
        .filter(value -> !value.isEmpty())
        .findFirst()
        .orElse("");
  }
}
