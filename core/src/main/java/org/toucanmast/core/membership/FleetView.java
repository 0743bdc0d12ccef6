package org.toucanmast.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Which VMs of the fleet one VM considers reachable, from the reports of all VMs on the peers that
 * they monitor.
 *
 * <p>Load pattern: after a loss of power or a cut of a data centre, every sender needs a new
 * gateway for many groups at the same moment, and must not try one lost VM after the other. A
 * single monitor's suspicion changes nothing, because its own link or processor may be at fault.
 *
 * <p>Reports spread from neighbour to neighbour and are merged by version; merging is commutative
 * and idempotent, so that views converge whatever the order and the number of deliveries. Source:
 * dissemination with suspicion and incarnations follows SWIM, Das, Gupta and Motivala, 2002.
 */
public final class FleetView {
  /** Number of monitors that must suspect a VM; the second one confirms over another path. */
  private static final int CONFIRMATIONS = 2;

  private final String self;
  private final Map<String, VmReport> reports = new HashMap<>();
  private Set<VmDescription> plannedMembers = Set.of();
  private MonitoringPlan plan;
  private VmReport ownReport;
  private Set<String> unreachable;
  private Long digest;

  /**
   * Creates the view of a VM that knows only itself.
   *
   * @param incarnation a number that increases with each run of the VM's process
   */
  public FleetView(VmDescription self, long incarnation) {
    this.self = self.name();
    this.plan = new MonitoringPlan(List.of(self));
    this.ownReport = new VmReport(this.self, incarnation, 0, false, false, new TreeSet<>());
  }

  /**
   * Sets the registered VMs; reports of other VMs are discarded. The plan is kept if the VMs are
   * the same: after a loss of power each VM registers again, and the entries arrive one after the
   * other.
   */
  public void setMembers(Collection<VmDescription> members) {
    Set<VmDescription> descriptions = Set.copyOf(members);
    if (descriptions.equals(plannedMembers)) {
      return;
    }
    plannedMembers = descriptions;
    plan = new MonitoringPlan(members);
    reports.keySet().retainAll(plan.vms());
    onReportsChanged();
  }

  /** Returns the plan by which VMs monitor each other. */
  public MonitoringPlan plan() {
    return plan;
  }

  /**
   * Merges a report. A report in this VM's name that another run of it wrote is answered by a newer
   * one of this run.
   *
   * @return whether the report, or the answer to it, is news that must be passed on
   */
  public boolean onReport(VmReport report) {
    if (report.vm().equals(self)) {
      return onOwnName(report);
    }
    if (!plan.vms().contains(report.vm()) || !report.isNewerThan(reportOf(report.vm()))) {
      return false;
    }
    reports.put(report.vm(), report);
    onReportsChanged();
    return true;
  }

  private boolean onOwnName(VmReport report) {
    boolean newer = report.isNewerThan(ownReport);
    boolean unanswered = ownReport.version() == 0 && !report.equals(ownReport);
    if (newer || unanswered) {
      replaceOwnReport(
          new VmReport(
              self,
              newer ? report.incarnation() + 1 : ownReport.incarnation(),
              1,
              ownReport.leaving(),
              ownReport.storeRefused(),
              ownReport.suspected()));
    }
    return newer || unanswered;
  }

  /**
   * Discards the report of an earlier run of a VM.
   *
   * @param incarnation the incarnation of the VM's registered run
   */
  public void onIncarnation(String vm, long incarnation) {
    VmReport known = reports.get(vm);
    if (known != null && known.incarnation() < incarnation) {
      reports.remove(vm);
      onReportsChanged();
    }
  }

  /**
   * Sets what this VM reports.
   *
   * @param leaving whether this VM is about to stop
   * @param storeRefused whether the store does not answer this VM
   * @param suspected the peers that do not answer this VM; those that it does not monitor are left
   *     out
   * @return whether the report changed
   */
  public boolean setOwnReport(boolean leaving, boolean storeRefused, Set<String> suspected) {
    SortedSet<String> monitored = new TreeSet<>(suspected);
    monitored.retainAll(plan.subjectsOf(self));
    VmReport changed =
        new VmReport(
            self, ownReport.incarnation(), ownReport.version(), leaving, storeRefused, monitored);
    if (changed.equals(ownReport)) {
      return false;
    }
    replaceOwnReport(
        new VmReport(
            self,
            ownReport.incarnation(),
            ownReport.version() + 1,
            leaving,
            storeRefused,
            monitored));
    return true;
  }

  private void replaceOwnReport(VmReport report) {
    ownReport = report;
    onReportsChanged();
  }

  /** Returns the report of a VM; its initial report if none has been received. */
  public VmReport reportOf(String vm) {
    return vm.equals(self) ? ownReport : reports.getOrDefault(vm, VmReport.initial(vm));
  }

  /** Returns all reports that have been received, and that of this VM once it says something. */
  public List<VmReport> allReports() {
    List<VmReport> all = new ArrayList<>(reports.values());
    if (ownReport.version() > 0) {
      all.add(ownReport);
    }
    return all;
  }

  /** Returns a number that is equal on two VMs that know the same versions of all reports. */
  public long digest() {
    if (digest == null) {
      digest = 0L;
      for (VmReport report : allReports()) {
        digest += mix(mix(report.vm().hashCode() ^ report.incarnation()) ^ report.version());
      }
    }
    return digest;
  }

  /** Returns the other VMs that are considered unreachable; VMs that are leaving are not. */
  public Set<String> unreachable() {
    if (unreachable == null) {
      unreachable = unreachableBy(unreachableBy(Set.of()));
    }
    return unreachable;
  }

  /** Returns whether a VM may be given work, as far as the reports tell. */
  public boolean accepts(String vm) {
    return !unreachable().contains(vm) && !reportOf(vm).leaving();
  }

  /** Discards what was derived from the reports; a heartbeat may bring many of them. */
  private void onReportsChanged() {
    digest = null;
    unreachable = null;
  }

  private static long mix(long value) {
    long mixed = (value ^ value >>> 30) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94d049bb133111ebL;
    return mixed ^ mixed >>> 31;
  }

  /**
   * Returns the VMs that are unreachable according to the reports of monitors that are neither
   * discarded nor isolated.
   *
   * @param discarded VMs that are unreachable themselves: their last report may be outdated
   */
  private Set<String> unreachableBy(Set<String> discarded) {
    Set<String> lost = new HashSet<>();
    Set<String> lostDataCentres = dataCentresLostBy(discarded);
    for (String vm : plan.vms()) {
      if (vm.equals(self)) {
        continue;
      }
      Set<String> monitors = plan.monitorsOf(vm);
      int suspicions = 0;
      for (String monitor : monitors) {
        boolean counts = !discarded.contains(monitor) && !isIsolated(monitor);
        if (counts && reportOf(monitor).suspected().contains(vm)) {
          suspicions++;
        }
      }
      if (suspicions >= Math.min(CONFIRMATIONS, monitors.size()) && suspicions > 0
          || lostDataCentres.contains(plan.dataCentreOf(vm))) {
        lost.add(vm);
      }
    }
    return lost;
  }

  /**
   * Returns the data centres that this VM's data centre has lost: at least half of the monitored
   * VMs there, and more than one, do not answer their monitors here.
   */
  private Set<String> dataCentresLostBy(Set<String> discarded) {
    String own = plan.dataCentreOf(self);
    Map<String, Integer> monitored = new HashMap<>();
    Map<String, Integer> suspected = new HashMap<>();
    for (String monitor : plan.vms()) {
      if (!plan.dataCentreOf(monitor).equals(own)
          || discarded.contains(monitor)
          || isIsolated(monitor)) {
        continue;
      }
      for (String subject : plan.subjectsOf(monitor)) {
        monitored.merge(plan.dataCentreOf(subject), 1, Integer::sum);
        if (reportOf(monitor).suspected().contains(subject)) {
          suspected.merge(plan.dataCentreOf(subject), 1, Integer::sum);
        }
      }
    }
    Set<String> lost = new HashSet<>();
    suspected.forEach(
        (dataCentre, count) -> {
          if (!dataCentre.equals(own)
              && count >= CONFIRMATIONS
              && 2 * count >= monitored.get(dataCentre)) {
            lost.add(dataCentre);
          }
        });
    return lost;
  }

  /**
   * Returns whether a VM suspects more than half of the peers that it monitors: then it is probably
   * the one that is cut off or was suspended.
   */
  private boolean isIsolated(String monitor) {
    Set<String> suspected = reportOf(monitor).suspected();
    if (suspected.isEmpty()) {
      return false;
    }
    Set<String> subjects = plan.subjectsOf(monitor);
    long count = suspected.stream().filter(subjects::contains).count();
    return subjects.size() > 1 && 2 * count > subjects.size();
  }

  /** Returns whether most of the peers that this VM monitors do not answer it. */
  public boolean isIsolated() {
    return isIsolated(self);
  }
}
