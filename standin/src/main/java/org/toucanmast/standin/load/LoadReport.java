package org.toucanmast.standin.load;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.toucanmast.cli.OutputFormat;
import org.toucanmast.core.allowance.TokenBucket;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.schema.LoadCustomerSection;
import org.toucanmast.standin.load.HistoryEntry.Action;

/**
 * The results of a load run: for each customer the outcomes, wrongful refusals and latency, for
 * each database the longest gap between acknowledged writes, and the share of reads at replicas.
 * Latency is measured from the planned time of a request, so that requests sent late because of a
 * stall do not hide it (coordinated omission).
 */
public final class LoadReport {
  private static final double MICROSECONDS_PER_MILLISECOND = 1_000.0;
  private static final long NANOSECONDS_PER_MICROSECOND = 1_000;
  private static final double PERCENT = 100.0;
  private static final int SIGNIFICANT_DIGITS = 3;

  /**
   * The results of one customer.
   *
   * @param sent requests sent
   * @param ran requests that ran
   * @param overAllowance requests refused as over the allowance
   * @param wronglyRefused those that one ideal token bucket would have admitted
   * @param otherRefusals requests refused for other reasons
   * @param unknown requests whose outcome is unknown
   * @param replicaShare share of the reads that ran at replicas, from 0 to 1
   * @param p50Milliseconds median latency of the requests that ran
   * @param p99Milliseconds 99th percentile of that latency
   */
  public record CustomerFigures(
      String customer,
      long sent,
      long ran,
      long overAllowance,
      long wronglyRefused,
      long otherRefusals,
      long unknown,
      double replicaShare,
      double p50Milliseconds,
      double p99Milliseconds) {}

  private final List<CustomerFigures> customers = new ArrayList<>();
  private final Map<String, Double> writeGapMilliseconds = new TreeMap<>();
  private final List<Violation> violations;
  private final double replicaShare;
  private final double agedReplicaShare;

  private LoadReport(
      List<HistoryEntry> history,
      Map<String, LoadCustomerSection> sections,
      List<Violation> violations) {
    this.violations = List.copyOf(violations);
    sections.forEach((name, section) -> customers.add(figuresOfCustomer(name, section, history)));
    history.stream()
        .map(HistoryEntry::database)
        .distinct()
        .forEach(
            database -> writeGapMilliseconds.put(database, longestWriteGapOf(database, history)));
    this.replicaShare = replicaShareOf(history, Action.READ);
    this.agedReplicaShare = replicaShareOf(history, Action.AGED_READ);
  }

  /** Computes the results of a history, leaving out requests planned within the warm-up. */
  public static LoadReport of(
      List<HistoryEntry> history, LoadScenario scenario, List<Violation> violations) {
    long warmUp = scenario.load().getWarmUp() / NANOSECONDS_PER_MICROSECOND;
    List<HistoryEntry> measured =
        history.stream().filter(entry -> entry.plannedAt() >= warmUp).toList();
    return new LoadReport(measured, scenario.customers(), violations);
  }

  /** Returns the results of each customer. */
  public List<CustomerFigures> customers() {
    return customers;
  }

  /** Returns the violations that the checker found. */
  public List<Violation> violations() {
    return violations;
  }

  /** Returns the share of reads without a maximum age that replicas served, from 0 to 1. */
  public double replicaShare() {
    return replicaShare;
  }

  /** Returns the share of reads with a maximum age that replicas served, from 0 to 1. */
  public double agedReplicaShare() {
    return agedReplicaShare;
  }

  /** Returns the longest time between two acknowledged writes by database, in milliseconds. */
  public Map<String, Double> writeGapMilliseconds() {
    return writeGapMilliseconds;
  }

  private static CustomerFigures figuresOfCustomer(
      String name, LoadCustomerSection section, List<HistoryEntry> history) {
    List<HistoryEntry> own =
        history.stream()
            .filter(entry -> entry.customer().equals(name))
            .filter(entry -> entry.action() != Action.FINAL_READ)
            .sorted(Comparator.comparingLong(HistoryEntry::sentAt))
            .toList();
    Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    own.stream()
        .filter(HistoryEntry::ran)
        .forEach(entry -> latency.recordValue(Math.max(0, entry.endedAt() - entry.plannedAt())));
    long ran = own.stream().filter(HistoryEntry::ran).count();
    long overAllowance = countWithCode(own, "over-allowance");
    long unknown = own.stream().filter(entry -> entry.outcome().equals("unknown")).count();
    Allowance allowance = new Allowance(section.getRate(), section.getBurst());
    return new CustomerFigures(
        name,
        own.size(),
        ran,
        overAllowance,
        countWrongRefusals(own, allowance),
        own.size() - ran - overAllowance - unknown,
        unknown,
        replicaShareOf(own, Action.READ, Action.AGED_READ),
        latency.getValueAtPercentile(50) / MICROSECONDS_PER_MILLISECOND,
        latency.getValueAtPercentile(99) / MICROSECONDS_PER_MILLISECOND);
  }

  private static long countWithCode(List<HistoryEntry> entries, String code) {
    return entries.stream().filter(entry -> entry.code().equals(code)).count();
  }

  /**
   * Returns the number of requests refused as over the allowance that one ideal token bucket, given
   * the same arrivals, would have admitted.
   */
  private static long countWrongRefusals(List<HistoryEntry> own, Allowance allowance) {
    TokenBucket idealBucket =
        new TokenBucket(
            allowance,
            allowance.burst(),
            own.isEmpty() ? 0 : own.get(0).sentAt() * NANOSECONDS_PER_MICROSECOND);
    long wrong = 0;
    for (HistoryEntry entry : own) {
      boolean admitted = idealBucket.take(1, entry.sentAt() * NANOSECONDS_PER_MICROSECOND) == 1;
      if (admitted && entry.code().equals("over-allowance")) {
        wrong++;
      }
    }
    return wrong;
  }

  private static double replicaShareOf(List<HistoryEntry> entries, Action... actions) {
    List<Action> wanted = List.of(actions);
    long reads = entries.stream().filter(e -> e.ran() && wanted.contains(e.action())).count();
    long replica =
        entries.stream().filter(e -> e.ran() && wanted.contains(e.action()) && e.replica()).count();
    return reads == 0 ? 0 : replica / (double) reads;
  }

  private static double longestWriteGapOf(String database, List<HistoryEntry> history) {
    List<Long> acknowledged =
        history.stream()
            .filter(entry -> entry.database().equals(database) && entry.writes() && entry.ran())
            .map(HistoryEntry::endedAt)
            .sorted()
            .toList();
    long longest = 0;
    for (int index = 1; index < acknowledged.size(); index++) {
      longest = Math.max(longest, acknowledged.get(index) - acknowledged.get(index - 1));
    }
    return longest / MICROSECONDS_PER_MILLISECOND;
  }

  /** Returns the results as a text table. */
  public String toTable() {
    List<List<String>> rows = new ArrayList<>();
    for (CustomerFigures each : customers) {
      rows.add(
          List.of(
              each.customer(),
              Long.toString(each.sent()),
              Long.toString(each.ran()),
              percent(each.replicaShare()),
              milliseconds(each.p50Milliseconds()),
              milliseconds(each.p99Milliseconds()),
              Long.toString(each.overAllowance()),
              Long.toString(each.wronglyRefused()),
              Long.toString(each.otherRefusals()),
              Long.toString(each.unknown())));
    }
    List<String> columns =
        List.of(
            "customer",
            "sent",
            "served",
            "replica",
            "p50ms",
            "p99ms",
            "refused",
            "wrongly",
            "other",
            "unknown");
    StringBuilder text = new StringBuilder(OutputFormat.TABLE.render(columns, rows));
    text.append("session reads at replicas: ").append(percent(replicaShare)).append('\n');
    text.append("aged reads at replicas: ").append(percent(agedReplicaShare)).append('\n');
    writeGapMilliseconds.forEach(
        (database, gap) ->
            text.append("longest time without an acknowledged write, ")
                .append(database)
                .append(": ")
                .append(milliseconds(gap))
                .append(" ms\n"));
    text.append("broken promises: ").append(violations.size()).append('\n');
    violations.stream().limit(20).forEach(each -> text.append("  ").append(each).append('\n'));
    return text.toString();
  }

  /** Returns the results as JSON. */
  public JsonObject toJson() {
    JsonArray figures = new JsonArray();
    customers.forEach(each -> figures.add(JsonObject.mapFrom(each)));
    JsonObject gaps = new JsonObject();
    writeGapMilliseconds.forEach(gaps::put);
    JsonArray broken = new JsonArray();
    violations.forEach(each -> broken.add(each.toString()));
    return new JsonObject()
        .put("customers", figures)
        .put("sessionReadsAtReplicas", replicaShare)
        .put("agedReadsAtReplicas", agedReplicaShare)
        .put("longestWriteGapMilliseconds", gaps)
        .put("brokenPromises", broken);
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.2f%%", share * PERCENT);
  }

  private static String milliseconds(double value) {
    return String.format(Locale.ROOT, "%.1f", value);
  }
}
