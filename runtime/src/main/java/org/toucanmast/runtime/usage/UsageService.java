package org.toucanmast.runtime.usage;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.function.LongConsumer;
import org.toucanmast.core.link.LinkUse;
import org.toucanmast.core.membership.Rendezvous;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.statement.StatementRequest;
import org.toucanmast.core.usage.CountingRule;
import org.toucanmast.core.usage.FleetTime;
import org.toucanmast.core.usage.FleetTotals;
import org.toucanmast.core.usage.UsageCounts;
import org.toucanmast.core.usage.UsageTiming;
import org.toucanmast.core.usage.WindowTotals;
import org.toucanmast.runtime.allowance.TokenCounts;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.fleet.FleetLinks;
import org.toucanmast.runtime.fleet.UsageMessageHandler;
import org.toucanmast.runtime.gateway.StartedStatements;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.UsageReports;
import org.toucanmast.schema.FleetPulse;
import org.toucanmast.schema.UsageReceipt;
import org.toucanmast.schema.UsageTotals;
import org.toucanmast.schema.UsageWindowTotals;

/**
 * Counts the requests that this VM's gateways start, sends the counts to the holder of the duty of
 * usage reports, and fulfils the duty while this VM is the assigned holder.
 */
public final class UsageService implements StartedStatements, UsageMessageHandler {
  /** Interval at which unconfirmed totals are sent. */
  private static final long SENDING_INTERVAL_IN_MILLISECONDS = 1_000;

  /** A change of the assigned holder takes effect after this time, so that views can settle. */
  private static final long ASSIGNMENT_DELAY_IN_MILLISECONDS = 500;

  private static final String RENDEZVOUS_KEY = "usage-reports";

  private final UsageTiming timing;
  private final CountingRule rule;
  private final String vm;
  private final long incarnation;
  private final VmClock clock;
  private final EventLog log;
  private final FleetLinks links;
  private final BooleanSupplier mayHold;
  private final FleetTime fleetTime = new FleetTime();
  private final UsageCounts counts;
  private final FleetTotals totals;
  private final UsageReporter reporter;
  private String holder = "";
  private boolean assigned;
  private boolean stopping;
  private long assignmentChangedAt;
  private long nextSendingAt = Long.MIN_VALUE;
  private long currentWindow;

  /**
   * What the service works with.
   *
   * @param era the store's era, as far as this VM knows
   */
  public record Environment(
      ObjectStore store,
      UsageReports reports,
      StoreEra era,
      VmClock clock,
      EventLog log,
      MetricRegistry metrics,
      FleetLinks links) {}

  /**
   * Creates a service that knows no holder.
   *
   * @param incarnation differs in each run of the process
   * @param mayHold whether this VM is fit for the duty: it has started and reaches its peers
   * @param eraListener told the eras in which the store answers
   */
  public UsageService(
      Environment environment,
      UsageTiming timing,
      CountingRule rule,
      String vm,
      long incarnation,
      BooleanSupplier mayHold,
      LongConsumer eraListener) {
    this.timing = timing;
    this.rule = rule;
    this.vm = vm;
    this.incarnation = incarnation;
    this.clock = environment.clock();
    this.log = environment.log();
    this.links = environment.links();
    this.mayHold = mayHold;
    this.counts = new UsageCounts(timing);
    this.totals = new FleetTotals(timing);
    String process = vm + "-" + incarnation + "-" + UUID.randomUUID();
    this.reporter = new UsageReporter(environment, timing, vm, process, totals, this::time);
    reporter.setEraListener(eraListener);
  }

  private long time() {
    return fleetTime.at(clock.wallClock(), clock.now());
  }

  /** Discards the lock, which the restored store may lack. */
  public void onNewEra() {
    reporter.onNewEra();
  }

  /** Chooses the holder among the reachable VMs. */
  public void onFleetChanged(Set<String> reachable) {
    String chosen = Rendezvous.first(RENDEZVOUS_KEY, reachable).orElse(vm);
    if (!chosen.equals(holder)) {
      log.log(EventKind.USAGE, "holder expected", "holder", chosen, "before", holder);
      holder = chosen;
      assignmentChangedAt = clock.now();
      links.setPeers(LinkUse.USAGE, holder.equals(vm) ? Set.of() : Set.of(holder));
      nextSendingAt = Long.MIN_VALUE;
    }
  }

  /** Adds the wall clock of this VM to a heartbeat. */
  public void describe(FleetPulse.Builder heartbeat) {
    heartbeat.setTrueTimeInMilliseconds(clock.wallClock());
  }

  /** Handles the wall clock of a peer. */
  public void onHeartbeat(String peer, FleetPulse heartbeat) {
    if (heartbeat.hasTrueTimeInMilliseconds()) {
      fleetTime.onNeighbour(peer, heartbeat.getTrueTimeInMilliseconds(), clock.now());
    }
  }

  @Override
  public long onStarted(StatementRequest request) {
    return rule.counts(request) ? counts.onStarted(request.customer(), time()) : NOT_COUNTED;
  }

  @Override
  public void onTurnedAway(StatementRequest request, long window) {
    if (window != NOT_COUNTED) {
      counts.onTurnedAway(request.customer(), window);
    }
  }

  /** Sends totals and fulfils the duty; must be called at short intervals. */
  public void tick() {
    long now = clock.now();
    long time = time();
    totals.forgetOverdue(time);
    if (now >= nextSendingAt
        || timing.windowAt(time - SENDING_INTERVAL_IN_MILLISECONDS / 2) != currentWindow) {
      currentWindow = timing.windowAt(time - SENDING_INTERVAL_IN_MILLISECONDS / 2);
      nextSendingAt = now + SENDING_INTERVAL_IN_MILLISECONDS;
      sendTotals(time);
    }
    boolean isExpected = holder.equals(vm) && !stopping;
    if (isExpected != assigned && now - assignmentChangedAt >= ASSIGNMENT_DELAY_IN_MILLISECONDS) {
      assigned = isExpected;
      if (!assigned) {
        reporter.release();
      }
    }
    if (assigned && isExpected && mayHold.getAsBoolean()) {
      reporter.tick();
    }
  }

  private void sendTotals(long time) {
    if (holder.isEmpty()) {
      return;
    }
    List<WindowTotals> unconfirmed = counts.unconfirmed(holder, time, stopping);
    if (unconfirmed.isEmpty()) {
      return;
    }
    UsageTotals.Builder message = UsageTotals.newBuilder().setVm(vm).setIncarnation(incarnation);
    for (WindowTotals each : unconfirmed) {
      message.addWindows(
          UsageWindowTotals.newBuilder()
              .setWindow(each.window())
              .addAllCounts(TokenCounts.of(each.counts()))
              .setComplete(each.complete()));
    }
    if (holder.equals(vm)) {
      onUsageReceipt(vm, onUsageTotals(message.build()));
    } else {
      links.sendUsage(holder, message.build());
    }
  }

  @Override
  public UsageReceipt onUsageTotals(UsageTotals message) {
    UsageReceipt.Builder receipt =
        UsageReceipt.newBuilder().setIncarnation(message.getIncarnation());
    long time = time();
    for (UsageWindowTotals each : message.getWindowsList()) {
      Map<String, Integer> byCustomer = TokenCounts.byCustomer(each.getCountsList());
      totals.onTotals(
          message.getVm(),
          message.getIncarnation(),
          new WindowTotals(each.getWindow(), byCustomer, each.getComplete()),
          time);
      if (each.getComplete()) {
        receipt.addWindows(each.getWindow());
      }
    }
    return receipt.build();
  }

  @Override
  public void onUsageReceipt(String peer, UsageReceipt receipt) {
    if (receipt.getIncarnation() == incarnation) {
      counts.onConfirmed(peer, receipt.getWindowsList());
    }
  }

  /** Gives the duty back before this VM stops; another VM is expected to hold it then. */
  public void setStopping() {
    stopping = true;
    reporter.release();
    assigned = false;
  }

  /** Sends the final totals before the process ends. */
  public void finish() {
    sendTotals(time());
  }
}
