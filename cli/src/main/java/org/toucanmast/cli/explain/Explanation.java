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
 * What logs tell about one request.
 *
 * @param request its id
 * @param cause why it ended as it did; empty when its lines do not tell
 * @param lines its own lines in causal order
 * @param beliefs what the VMs that handled it believed then: the newest line of each subject
 * @param around what happened shortly before that bears on the cause
 * @param unreadable how many lines of the logs could not be read
 */
public record Explanation(
    String request,
    Optional<Cause> cause,
    List<LogLine> lines,
    List<LogLine> beliefs,
    List<LogLine> around,
    int unreadable) {
  /** How far before the outcome events are looked for: a failover takes less. */
  private static final long LOOK_BACK_IN_MILLISECONDS = 3_000;

  /** Clocks of VMs differ by less than this in calm times. */
  private static final long LOOK_AHEAD_IN_MILLISECONDS = 300;

  private static final int MOST_AROUND = 25;

  private static final List<EventKind> EVIDENCE_OF_UNKNOWN_CAUSES =
      List.of(EventKind.LEADER, EventKind.MEMBERSHIP, EventKind.ENDPOINT, EventKind.PROCESS);

  /** Keeps copies. */
  public Explanation {
    lines = List.copyOf(lines);
    beliefs = List.copyOf(beliefs);
    around = List.copyOf(around);
  }

  /** Explains a request; empty when no line names it. */
  public static Optional<Explanation> of(String request, LogFiles logs) {
    RequestLines own =
        new RequestLines(
            logs.lines().stream().filter(line -> line.field("request").equals(request)).toList());
    if (own.lines().isEmpty()) {
      return Optional.empty();
    }
    Optional<Cause> cause = Cause.of(own);
    Set<String> vms = new TreeSet<>();
    own.lines().forEach(line -> vms.add(line.vm()));
    long end = own.lines().stream().mapToLong(LogLine::time).max().orElseThrow();
    return Optional.of(
        new Explanation(
            request,
            cause,
            own.lines(),
            beliefs(logs, vms, own.any("group"), end),
            around(logs, cause, own, end),
            logs.unreadable()));
  }

  private static List<LogLine> beliefs(LogFiles logs, Set<String> vms, String group, long end) {
    Map<String, LogLine> newest = new LinkedHashMap<>();
    logs.lines().stream()
        .filter(line -> vms.contains(line.vm()) && line.time() <= end)
        .filter(line -> !line.isOf(EventKind.LEADER) || line.field("group").equals(group))
        .sorted(Comparator.comparingLong(LogLine::time))
        .forEach(line -> subject(line).ifPresent(subject -> newest.put(subject, line)));
    return new ArrayList<>(newest.values());
  }

  /** Returns what a line states a belief about. */
  private static Optional<String> subject(LogLine line) {
    if (line.isOf(EventKind.CONFIGURATION)) {
      return Optional.of(line.vm() + " configuration")
          .filter(subject -> line.event().equals("configuration in force"));
    }
    if (line.isOf(EventKind.LEADER)) {
      return Optional.of(line.vm() + " leader");
    }
    if (line.isOf(EventKind.DEPENDENCY)) {
      return Optional.of(line.vm() + " store " + line.field("objects"));
    }
    return Optional.empty();
  }

  private static List<LogLine> around(
      LogFiles logs, Optional<Cause> cause, RequestLines own, long end) {
    List<EventKind> kinds = cause.map(Cause::evidence).orElse(EVIDENCE_OF_UNKNOWN_CAUSES);
    String group = own.any("group");
    List<LogLine> found =
        logs.lines().stream()
            .filter(line -> kinds.stream().anyMatch(line::isOf))
            .filter(line -> line.time() >= end - LOOK_BACK_IN_MILLISECONDS)
            .filter(line -> line.time() <= end + LOOK_AHEAD_IN_MILLISECONDS)
            .filter(line -> bearsOn(line, group))
            .sorted(Comparator.comparingLong(LogLine::time))
            .toList();
    return found.subList(Math.max(0, found.size() - MOST_AROUND), found.size());
  }

  private static boolean bearsOn(LogLine line, String group) {
    String other = line.field("group");
    return group.isEmpty() || other.isEmpty() || other.equals(group);
  }

  /** Returns the explanation for programs. */
  public JsonObject toJson() {
    return new JsonObject()
        .put("request", request)
        .put("cause", cause.map(Enum::name).orElse("UNKNOWN"))
        .put("explanation", sentence())
        .put("lines", array(lines))
        .put("beliefs", array(beliefs))
        .put("around", array(around))
        .put("unreadable_lines", unreadable);
  }

  /** Returns the cause as a sentence. */
  public String sentence() {
    return cause
        .map(Cause::text)
        .orElse("The lines of the request do not tell why; see what happened around it.");
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
