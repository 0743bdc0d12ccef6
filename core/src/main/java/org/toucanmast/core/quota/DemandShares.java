package org.toucanmast.core.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * One customer's allowance, shared out over the VMs by what each of them is asked for.
 *
 * <p>Kept by one VM for each customer. VMs that do not report keep an equal part, which they use by
 * themselves, so that the parts never add up to more than the whole.
 */
public final class DemandShares {
  /** A report counts for this long, in milliseconds; it is sent several times in that time. */
  public static final long REPORT_LIFETIME_IN_MILLISECONDS = 1_000;

  /** Part of the whole that is shared out equally, so that a first request finds a token. */
  private static final double EQUAL_PART = 0.3;

  private record Report(double demand, long at) {}

  private final Map<String, Report> reports = new HashMap<>();

  /** Notes what a VM was asked for, in requests per second. */
  public void report(String vm, double demandPerSecond, long now) {
    reports.put(vm, new Report(demandPerSecond, now));
  }

  /** Returns the part of the allowance that a VM may use, from 0 to 1. */
  public double share(String vm, Collection<String> members, long now) {
    int count = Math.max(1, members.size());
    reports.keySet().retainAll(members);
    double total = 0;
    int reporting = 0;
    for (Report report : reports.values()) {
      if (now - report.at() <= REPORT_LIFETIME_IN_MILLISECONDS) {
        total += report.demand();
        reporting++;
      }
    }
    Report own = reports.get(vm);
    if (own == null || reporting == 0) {
      return 1.0 / count;
    }
    double whole = (double) reporting / count;
    double equal = whole * EQUAL_PART / reporting;
    double byDemand = total <= 0 ? 1.0 / reporting : own.demand() / total;
    return equal + whole * (1 - EQUAL_PART) * byDemand;
  }
}
