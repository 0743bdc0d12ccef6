package org.toucanmast.runtime.session;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.toucanmast.core.link.LinkUse;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.membership.FleetView;
import org.toucanmast.core.membership.VmDescription;
import org.toucanmast.core.membership.VmReport;
import org.toucanmast.core.membership.WatcherPlan;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.fleet.FleetMember;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.MemberReport;

/**
 * Which VMs this VM considers reachable: combines the reports of all VMs with what this VM sees on
 * its own links, and exchanges the reports with its neighbours.
 */
final class FleetMembership {
  /**
   * News is collected for this long before it is sent, so that one heartbeat carries it all; longer
   * while this VM is short of processor time, so that it sends fewer heartbeats.
   */
  private static final long NEWS_DELAY_IN_MILLISECONDS = 5;

  private final Vertx vertx;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMember self;
  private final FleetLinks links;
  private final LocalHealth localHealth;
  private final Runnable onChanged;
  private final FleetView view;
  private final Map<String, FleetMember> members = new HashMap<>();
  private final Map<String, VmReport> news = new LinkedHashMap<>();
  private final Set<String> outdatedNeighbours = new HashSet<>();
  private Set<String> knownUnreachable = Set.of();
  private boolean leaving;
  private boolean storeRefused;
  private boolean newsScheduled;
  private boolean updateScheduled;

  /**
   * Creates the membership of a VM that knows only itself.
   *
   * @param onChanged called after the reachable VMs, or the VMs that watch the store, may have
   *     changed
   */
  FleetMembership(
      Vertx vertx,
      VmClock clock,
      EventLog log,
      FleetMember self,
      FleetLinks links,
      LocalHealth localHealth,
      Runnable onChanged) {
    this.clock = clock;
    this.localHealth = localHealth;
    this.vertx = vertx;
    this.log = log;
    this.self = self;
    this.links = links;
    this.onChanged = onChanged;
    this.view = new FleetView(self.description(), self.incarnation());
    members.put(self.name(), self);
    view.setMembers(descriptions());
  }

  private List<VmDescription> descriptions() {
    return members.values().stream().map(FleetMember::description).toList();
  }

  /** Sets the registered VMs; this VM counts as registered in any case. */
  void setMembers(Map<String, FleetMember> registered) {
    members.clear();
    members.putAll(registered);
    members.put(self.name(), self);
    view.setMembers(descriptions());
    registered.forEach((name, member) -> view.onIncarnation(name, member.incarnation()));
    links.setPeers(LinkUse.MONITORING, view.plan().subjectsOf(self.name()));
    scheduleUpdate();
  }

  /** Returns the names of all registered VMs and of this VM. */
  Set<String> members() {
    return members.keySet();
  }

  /** Sets that this VM is about to stop. */
  void setLeaving() {
    leaving = true;
    update();
  }

  /** Sets whether the store does not answer this VM. */
  void setStoreRefused(boolean newStoreRefused) {
    storeRefused = newStoreRefused;
    scheduleUpdate();
  }

  /** Reconsiders which VMs are reachable, once in this turn of the event loop. */
  void scheduleUpdate() {
    if (!updateScheduled) {
      updateScheduled = true;
      vertx.runOnContext(ignored -> update());
    }
  }

  private void update() {
    updateScheduled = false;
    if (view.setOwnReport(leaving, storeRefused, links.suspected())) {
      addNews(view.reportOf(self.name()));
    }
    Set<String> unreachable = view.unreachable();
    if (!unreachable.equals(knownUnreachable)) {
      knownUnreachable = Set.copyOf(unreachable);
      log.log(
          EventKind.MEMBERSHIP,
          "unreachable members",
          "unreachable",
          new TreeSet<>(unreachable),
          "members",
          members.size(),
          "isolated",
          view.isIsolated());
    }
    onChanged.run();
  }

  /** Returns whether most of the VMs that this VM monitors do not answer it. */
  boolean isIsolated() {
    return view.isIsolated();
  }

  /** Returns whether this VM watches the store on behalf of its data centre. */
  boolean isWatcher() {
    return WatcherPlan.isWatcher(self.description(), descriptions(), view);
  }

  /** Returns whether a VM may be given work, as far as this VM knows. */
  boolean isReachable(String vm) {
    if (vm.equals(self.name())) {
      return !leaving;
    }
    return view.accepts(vm) && !links.isSuspected(vm) && !links.isLeaving(vm);
  }

  /** Returns the capacities of the reachable VMs, in cores; those of this VM if there are none. */
  Map<String, Double> reachable() {
    Map<String, Double> capacities = new HashMap<>();
    members.forEach(
        (name, member) -> {
          if (isReachable(name)) {
            capacities.put(name, member.capacity());
          }
        });
    if (capacities.isEmpty()) {
      capacities.put(self.name(), self.capacity());
    }
    return capacities;
  }

  /** Returns the data centres of the registered VMs and of this VM. */
  Map<String, String> dataCentres() {
    Map<String, String> dataCentres = new HashMap<>();
    members.forEach((name, member) -> dataCentres.put(name, member.dataCentre()));
    return dataCentres;
  }

  /** Returns whether each VM that this VM monitors has answered or cannot be connected to. */
  boolean areNeighboursKnown() {
    return view.plan().subjectsOf(self.name()).stream().allMatch(links::isReachabilityKnown);
  }

  /** Returns the VMs with which this VM exchanges reports. */
  Set<String> neighbours() {
    return view.plan().neighboursOf(self.name());
  }

  private void addNews(VmReport report) {
    news.put(report.vm(), report);
    announce();
  }

  /** Tells the neighbours that the mirrors have changed. */
  void announce() {
    if (!newsScheduled) {
      newsScheduled = true;
      long delay = localHealth.extended(NEWS_DELAY_IN_MILLISECONDS, clock.now());
      vertx.setTimer(delay, fired -> sendNews());
    }
  }

  private void sendNews() {
    newsScheduled = false;
    links.sendHeartbeats(neighbours());
    news.clear();
  }

  /** Adds reports to a heartbeat for a neighbour: the newest ones, or all if it lacks some. */
  void describe(String vm, FleetPulse.Builder heartbeat) {
    heartbeat.setReportDigest(view.digest());
    if (outdatedNeighbours.remove(vm)) {
      view.allReports().forEach(report -> heartbeat.addReports(toMessage(report)));
    } else {
      news.values().forEach(report -> heartbeat.addReports(toMessage(report)));
    }
  }

  /** Merges the reports in a heartbeat, and passes on those that are new. */
  void onHeartbeat(String vm, FleetPulse heartbeat) {
    boolean changed = false;
    for (MemberReport message : heartbeat.getReportsList()) {
      if (view.onReport(toReport(message))) {
        changed = true;
        addNews(view.reportOf(message.getVm()));
      }
    }
    if (changed) {
      scheduleUpdate();
    }
    if (heartbeat.hasReportDigest() && heartbeat.getReportDigest() != view.digest()) {
      outdatedNeighbours.add(vm);
    }
  }

  private static MemberReport toMessage(VmReport report) {
    return MemberReport.newBuilder()
        .setVm(report.vm())
        .setIncarnation(report.incarnation())
        .setVersion(report.version())
        .setLeaving(report.leaving())
        .setStoreRefused(report.storeRefused())
        .addAllSuspected(report.suspected())
        .build();
  }

  private static VmReport toReport(MemberReport message) {
    return new VmReport(
        message.getVm(),
        message.getIncarnation(),
        message.getVersion(),
        message.getLeaving(),
        message.getStoreRefused(),
        new TreeSet<>(message.getSuspectedList()));
  }

  /** Returns the registered VMs that are not reachable. */
  List<String> unreachableMembers() {
    List<String> unreachable = new ArrayList<>();
    for (String name : members.keySet()) {
      if (!name.equals(self.name()) && (!view.accepts(name) || links.isSuspected(name))) {
        unreachable.add(name);
      }
    }
    return unreachable;
  }
}
