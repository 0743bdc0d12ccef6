package org.toucanmast.cli.explain;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.toucanmast.runtime.events.EventKind;

/**
 * What the logs show about one request.
 *
 * @param request the request id
 * @param cause the cause of its outcome; empty when its log lines show none
 * @param lines the log lines of the request in causal order
 * @param knownState the state known to the VMs that handled the request at the time of its outcome:
 *     for each VM, the newest line on the configuration, the group's primary and each kind of the
 *     store's objects
 * @param relatedEvents events close to the time of the outcome that may have led to it, in order of
 *     time
 * @param unreadableLines the number of log lines that could not be read
 */
public record Explanation(
    String request,
    Optional<Cause> cause,
    List<LogLine> lines,
    List<LogLine> knownState,
    List<LogLine> relatedEvents,
    int unreadableLines) {
  /** Events up to this long before the outcome are included; a failover takes less time. */
  private static final long MAX_TIME_BEFORE_OUTCOME_IN_MILLISECONDS = 3_000;

  /** Events up to this long after the outcome are included; VM clocks normally differ by less. */
  private static final long MAX_TIME_AFTER_OUTCOME_IN_MILLISECONDS = 300;

  private static final int MAX_RELATED_EVENTS = 25;

  private static final List<EventKind> KINDS_FOR_UNKNOWN_CAUSE =
      List.of(EventKind.LEADER, EventKind.MEMBERSHIP, EventKind.ENDPOINT, EventKind.PROCESS);

  /** Copies the lists. */
  public Explanation {
    lines = List.copyOf(lines);
    knownState = List.copyOf(knownState);
    relatedEvents = List.copyOf(relatedEvents);
  }

  /** Returns the explanation of a request, or empty when no log line has its id. */
  public static Optional<Explanation> of(String request, LogFiles logs) {
    RequestLines requestLines =
        new RequestLines(
            logs.lines().stream().filter(line -> line.field("request").equals(request)).toList());
    if (requestLines.lines().isEmpty()) {
      return Optional.empty();
    }
    Optional<Cause> cause = Cause.of(requestLines);
    Set<String> vms = new TreeSet<>();
    requestLines.lines().forEach(line -> vms.add(line.vm()));
    long outcomeTime = requestLines.lines().stream().mapToLong(LogLine::time).max().orElseThrow();
    return Optional.of(
        new Explanation(
            request,
            cause,
            requestLines.lines(),
            knownState(logs, vms, requestLines.firstValueOf("group"), outcomeTime),
            relatedEvents(logs, cause, requestLines, outcomeTime),
            logs.unreadableLines()));
  }

  private static List<LogLine> knownState(
      LogFiles logs, Set<String> vms, String group, long outcomeTime) {
    Map<String, LogLine> newest = new LinkedHashMap<>();
    logs.lines().stream()
        .filter(line -> vms.contains(line.vm()) && line.time() <= outcomeTime)
        .filter(line -> !line.hasKind(EventKind.LEADER) || line.field("group").equals(group))
        .sorted(Comparator.comparingLong(LogLine::time))
        .forEach(line -> subject(line).ifPresent(subject -> newest.put(subject, line)));
    return new ArrayList<>(newest.values());
  }

  /** Returns the VM and the part of its known state that a line reports, or empty. */
  private static Optional<String> subject(LogLine line) {
    if (line.hasKind(EventKind.CONFIGURATION)) {
      return Optional.of(line.vm() + " configuration")
          .filter(subject -> line.event().equals("configuration in force"));
    }
    if (line.hasKind(EventKind.LEADER)) {
      return Optional.of(line.vm() + " leader");
    }
    if (line.hasKind(EventKind.DEPENDENCY)) {
      return Optional.of(line.vm() + " store " + line.field("objects"));
    }
    return Optional.empty();
  }

  private static List<LogLine> relatedEvents(
      LogFiles logs, Optional<Cause> cause, RequestLines requestLines, long outcomeTime) {
    List<EventKind> kinds = cause.map(Cause::relatedKinds).orElse(KINDS_FOR_UNKNOWN_CAUSE);
    String group = requestLines.firstValueOf("group");
    List<LogLine> events =
        logs.lines().stream()
            .filter(line -> kinds.stream().anyMatch(line::hasKind))
            .filter(line -> line.time() >= outcomeTime - MAX_TIME_BEFORE_OUTCOME_IN_MILLISECONDS)
            .filter(line -> line.time() <= outcomeTime + MAX_TIME_AFTER_OUTCOME_IN_MILLISECONDS)
            .filter(line -> concernsGroup(line, group))
            .sorted(Comparator.comparingLong(LogLine::time))
            .toList();
    return events.subList(Math.max(0, events.size() - MAX_RELATED_EVENTS), events.size());
  }

  private static boolean concernsGroup(LogLine line, String group) {
    String lineGroup = line.field("group");
    return group.isEmpty() || lineGroup.isEmpty() || lineGroup.equals(group);
  }

  /** Returns the explanation as JSON, with the cause {@code UNKNOWN} when there is none. */
  public JsonObject toJson() {
    return new JsonObject()
        .put("request", request)
        .put("cause", cause.map(Enum::name).orElse("UNKNOWN"))
        .put("explanation", description())
        .put("lines", array(lines))
        .put("beliefs", array(knownState))
        .put("around", array(relatedEvents))
        .put("unreadable_lines", unreadableLines);
  }

  /** Returns the description of the cause in a full sentence, for operators. */
  public String description() {
    return cause
        .map(Cause::description)
        .orElse("The log lines of the request do not show the cause; see the events around it.");
  }

  private static JsonArray array(List<LogLine> lines) {
    JsonArray array = new JsonArray();
    for (LogLine line : lines) {
      JsonObject object =
          new JsonObject()
              .put("time", line.time())
              .put("vm", line.vm())
              .put("kind", line.kind())
              .put("event", line.event());
      line.fields().forEach(object::put);
      array.add(object);
    }
    return array;
  }
}
