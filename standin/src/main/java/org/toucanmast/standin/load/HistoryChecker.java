package org.toucanmast.standin.load;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.standin.load.HistoryEntry.Action;
import org.toucanmast.standin.load.Violation.Promise;

/** Reads a history and finds broken promises. */
public final class HistoryChecker {
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, String> outcomes = new HashMap<>();
  private final Set<String> presentIds = new HashSet<>();

  private HistoryChecker() {}

  /**
   * Checks a history.
   *
   * @param allowances the allowance of each customer over the whole run
   */
  public static List<Violation> check(
      List<HistoryEntry> history, Map<String, Allowance> allowances) {
    HistoryChecker checker = new HistoryChecker();
    history.stream()
        .filter(HistoryEntry::writes)
        .forEach(entry -> checker.outcomes.put(entry.requestId(), entry.outcome()));
    checker.checkReads(history);
    checker.checkFinalReads(history);
    allowances.forEach((customer, allowance) -> checker.checkRate(history, customer, allowance));
    return checker.violations;
  }

  private void report(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }

  private void checkReads(List<HistoryEntry> history) {
    Map<String, Set<String>> acknowledgedByKey = new HashMap<>();
    history.stream()
        .sorted(Comparator.comparingLong(HistoryEntry::endedAt))
        .filter(HistoryEntry::ran)
        .forEach(
            entry -> {
              if (entry.writes()) {
                acknowledgedByKey
                    .computeIfAbsent(entry.key(), key -> new HashSet<>())
                    .add(entry.requestId() + "@" + entry.endedAt());
              } else if (entry.action() == Action.READ || entry.action() == Action.AGED_READ) {
                checkRead(entry, acknowledgedByKey.getOrDefault(entry.key(), Set.of()));
              }
            });
  }

  private void checkRead(HistoryEntry read, Set<String> acknowledged) {
    List<String> seen = listOf(read.row());
    checkContent(read, seen);
    for (String write : acknowledged) {
      String id = write.substring(0, write.lastIndexOf('@'));
      long endedAt = Long.parseLong(write.substring(write.lastIndexOf('@') + 1));
      if (endedAt <= read.sentAt() && !seen.contains(id)) {
        report(
            Promise.READ_YOUR_WRITES,
            read.requestId() + " of " + read.session() + " does not see " + id);
      }
    }
  }

  private void checkContent(HistoryEntry read, List<String> seen) {
    Set<String> distinct = new HashSet<>();
    for (String id : seen) {
      if (!distinct.add(id)) {
        report(Promise.AT_MOST_ONCE, id + " stands twice in " + read.key());
      }
      if (!id.startsWith(read.key() + ".")) {
        report(Promise.OWN_ANSWERS, read.requestId() + " of " + read.key() + " holds " + id);
      }
      if ("not-run".equals(outcomes.get(id))) {
        report(Promise.NOT_RUN_IS_TRUE, id + " was refused as not run and is in " + read.key());
      }
    }
  }

  private void checkFinalReads(List<HistoryEntry> history) {
    Map<String, Set<String>> present = new HashMap<>();
    history.stream()
        .filter(entry -> entry.action() == Action.FINAL_READ && entry.ran())
        .forEach(
            entry -> {
              List<String> seen = listOf(entry.row());
              checkContent(entry, seen);
              presentIds.addAll(seen);
              present.put(entry.key(), new HashSet<>(seen));
            });
    history.stream()
        .filter(entry -> entry.writes() && entry.ran() && present.containsKey(entry.key()))
        .filter(entry -> !present.get(entry.key()).contains(entry.requestId()))
        .forEach(
            entry ->
                report(
                    Promise.ACKNOWLEDGED_IS_KEPT,
                    entry.requestId() + " was acknowledged and is gone"));
  }

  private static List<String> listOf(String row) {
    return row.isEmpty() ? List.of() : Arrays.asList(row.split(","));
  }

  /**
   * Tells whether a request is known to have been admitted: it ran, a VM said that it was sent, or
   * its write is there. One whose VM gave no answer may have died while it waited for a token.
   */
  private boolean wasAdmitted(HistoryEntry entry) {
    boolean unanswered = entry.code().equals("no-answer");
    boolean admitted = !entry.outcome().equals("not-run") && !unanswered;
    return admitted || presentIds.contains(entry.requestId());
  }

  /** Counts requests that lie wholly inside a window, for every window between two of them. */
  private void checkRate(List<HistoryEntry> history, String customer, Allowance allowance) {
    List<HistoryEntry> admitted =
        history.stream()
            .filter(entry -> entry.customer().equals(customer))
            .filter(entry -> entry.action() != Action.FINAL_READ)
            .filter(this::wasAdmitted)
            .sorted(Comparator.comparingLong(HistoryEntry::endedAt))
            .toList();
    for (int first = 0; first < admitted.size(); first++) {
      long from = admitted.get(first).sentAt();
      int count = 0;
      for (int last = 0; last < admitted.size(); last++) {
        HistoryEntry entry = admitted.get(last);
        if (entry.sentAt() < from) {
          continue;
        }
        count++;
        double seconds = (entry.endedAt() - from) / MICROSECONDS_PER_SECOND;
        if (count > allowance.burst() + allowance.rate() * seconds + 1e-6) {
          report(Promise.ALLOWANCE, customer + " had " + count + " requests in " + seconds + " s");
          return;
        }
      }
    }
  }
}
