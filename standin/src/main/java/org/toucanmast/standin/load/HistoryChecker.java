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

/** Checks the history of a load run for violations of the proxy's promises. */
public final class HistoryChecker {
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  private final List<Violation> violations = new ArrayList<>();
  private final Map<String, String> outcomeByWriteId = new HashMap<>();
  private final Set<String> idsInFinalReads = new HashSet<>();

  private HistoryChecker() {}

  /**
   * Returns the violations in a history.
   *
   * @param allowances the allowance that each customer had during the whole run, by the customer's
   *     name
   */
  public static List<Violation> check(
      List<HistoryEntry> history, Map<String, Allowance> allowances) {
    HistoryChecker checker = new HistoryChecker();
    history.stream()
        .filter(HistoryEntry::writes)
        .forEach(entry -> checker.outcomeByWriteId.put(entry.requestId(), entry.outcome()));
    checker.checkReads(history);
    checker.checkFinalReads(history);
    allowances.forEach(
        (customer, allowance) -> checker.checkAllowance(history, customer, allowance));
    return checker.violations;
  }

  private void report(Promise promise, String detail) {
    violations.add(new Violation(promise, detail));
  }

  private void checkReads(List<HistoryEntry> history) {
    Map<String, Set<String>> acknowledgedWritesByKey = new HashMap<>();
    history.stream()
        .sorted(Comparator.comparingLong(HistoryEntry::endedAt))
        .filter(HistoryEntry::ran)
        .forEach(
            entry -> {
              if (entry.writes()) {
                acknowledgedWritesByKey
                    .computeIfAbsent(entry.key(), key -> new HashSet<>())
                    .add(entry.requestId() + "@" + entry.endedAt());
              } else if (entry.action() == Action.READ || entry.action() == Action.AGED_READ) {
                checkRead(entry, acknowledgedWritesByKey.getOrDefault(entry.key(), Set.of()));
              }
            });
  }

  private void checkRead(HistoryEntry read, Set<String> acknowledgedWrites) {
    List<String> ids = parseIds(read.row());
    checkContent(read, ids);
    for (String write : acknowledgedWrites) {
      String id = write.substring(0, write.lastIndexOf('@'));
      long endedAt = Long.parseLong(write.substring(write.lastIndexOf('@') + 1));
      if (endedAt <= read.sentAt() && !ids.contains(id)) {
        report(
            Promise.READ_YOUR_WRITES,
            read.requestId()
                + " of session "
                + read.session()
                + " misses acknowledged write "
                + id);
      }
    }
  }

  private void checkContent(HistoryEntry read, List<String> ids) {
    Set<String> distinctIds = new HashSet<>();
    for (String id : ids) {
      if (!distinctIds.add(id)) {
        report(Promise.AT_MOST_ONCE, id + " appears more than once in key " + read.key());
      }
      if (!id.startsWith(read.key() + ".")) {
        report(
            Promise.OWN_ANSWERS,
            read.requestId() + " of key " + read.key() + " returned foreign id " + id);
      }
      if ("not-run".equals(outcomeByWriteId.get(id))) {
        report(
            Promise.NOT_RUN_IS_TRUE,
            id + " was refused as not run but appears in key " + read.key());
      }
    }
  }

  private void checkFinalReads(List<HistoryEntry> history) {
    Map<String, Set<String>> finalIdsByKey = new HashMap<>();
    history.stream()
        .filter(entry -> entry.action() == Action.FINAL_READ && entry.ran())
        .forEach(
            entry -> {
              List<String> ids = parseIds(entry.row());
              checkContent(entry, ids);
              idsInFinalReads.addAll(ids);
              finalIdsByKey.put(entry.key(), new HashSet<>(ids));
            });
    history.stream()
        .filter(entry -> entry.writes() && entry.ran() && finalIdsByKey.containsKey(entry.key()))
        .filter(entry -> !finalIdsByKey.get(entry.key()).contains(entry.requestId()))
        .forEach(
            entry ->
                report(
                    Promise.ACKNOWLEDGED_IS_KEPT,
                    entry.requestId() + " was acknowledged but is missing from the final read"));
  }

  private static List<String> parseIds(String row) {
    return row.isEmpty() ? List.of() : Arrays.asList(row.split(","));
  }

  /**
   * Returns whether a request is known to have been admitted: it ran, its outcome is unknown
   * although a VM answered, or a final read returned its write. A request without an answer does
   * not count, since its VM may have failed while the request waited for a token.
   */
  private boolean wasAdmitted(HistoryEntry entry) {
    boolean unanswered = entry.code().equals("no-answer");
    boolean admitted = !entry.outcome().equals("not-run") && !unanswered;
    return admitted || idsInFinalReads.contains(entry.requestId());
  }

  /**
   * Compares the admitted requests with the allowance in every window from the sending of one
   * request to the end of another, counting the requests that lie entirely inside the window.
   * Reports at most one violation for a customer.
   */
  private void checkAllowance(List<HistoryEntry> history, String customer, Allowance allowance) {
    List<HistoryEntry> admitted =
        history.stream()
            .filter(entry -> entry.customer().equals(customer))
            .filter(entry -> entry.action() != Action.FINAL_READ)
            .filter(this::wasAdmitted)
            .sorted(Comparator.comparingLong(HistoryEntry::endedAt))
            .toList();
    for (int firstIndex = 0; firstIndex < admitted.size(); firstIndex++) {
      long windowStart = admitted.get(firstIndex).sentAt();
      int count = 0;
      for (int lastIndex = 0; lastIndex < admitted.size(); lastIndex++) {
        HistoryEntry entry = admitted.get(lastIndex);
        if (entry.sentAt() < windowStart) {
          continue;
        }
        count++;
        double seconds = (entry.endedAt() - windowStart) / MICROSECONDS_PER_SECOND;
        if (count > allowance.burst() + allowance.rate() * seconds + 1e-6) {
          report(
              Promise.ALLOWANCE,
              customer + " had " + count + " admitted requests in " + seconds + " s");
          return;
        }
      }
    }
  }
}
