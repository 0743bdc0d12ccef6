package org.toucanmast.runtime.fleet;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.toucanmast.core.link.LinkUse;
import org.toucanmast.core.link.LocalHealth;
import org.toucanmast.core.link.OutputBudget;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetFrame;
import org.toucanmast.schema.FleetHello;
import org.toucanmast.schema.MirrorPull;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenReturn;
import org.toucanmast.schema.UsageTotals;

/** The links between this VM and its peers, opened when they are needed. */
public final class FleetLinks {
  /** Interval between two checks for due heartbeats and silent links. */
  public static final long TICK_INTERVAL_IN_MILLISECONDS = 100;

  /** A tick that is delayed by more than this shows that this VM itself was suspended. */
  private static final long TICK_DELAY_TOLERANCE_IN_MILLISECONDS = 150;

  /** The part of the heap that may wait to be sent on the links. */
  private static final long HEAP_SHARE_OF_OUTPUT = 8;

  private final NetClient client;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMessageHandler handler;
  private final FleetHello hello;
  private final FleetServer server;
  private final LocalHealth localHealth;
  private final OutputBudget budget =
      new OutputBudget(Runtime.getRuntime().maxMemory() / HEAP_SHARE_OF_OUTPUT);
  private final Map<String, FleetLink> links = new HashMap<>();
  private final List<FleetLink> retiredLinks = new ArrayList<>();
  private final Map<String, FleetMember> members = new HashMap<>();
  private long lastTickAt;

  /**
   * Creates an instance without links, for a VM whose timers are not measured.
   *
   * @param vm the name of this VM
   * @param incarnation a number that differs in each run of the process
   */
  public FleetLinks(
      NetClient client,
      NetServer server,
      VmClock clock,
      EventLog log,
      FleetMessageHandler handler,
      String vm,
      long incarnation) {
    this(client, server, clock, log, handler, vm, incarnation, new LocalHealth());
  }

  /**
   * Creates an instance without links.
   *
   * @param vm the name of this VM
   * @param incarnation a number that differs in each run of the process
   * @param localHealth decides whether this VM may judge its peers
   */
  public FleetLinks(
      NetClient client,
      NetServer server,
      VmClock clock,
      EventLog log,
      FleetMessageHandler handler,
      String vm,
      long incarnation,
      LocalHealth localHealth) {
    this.localHealth = localHealth;
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.handler = handler;
    this.hello = FleetHello.newBuilder().setVm(vm).setIncarnation(incarnation).build();
    this.server = new FleetServer(server, clock, log, handler, localHealth, budget);
    this.lastTickAt = clock.now();
  }

  /** Starts to listen for links from peers. */
  public Future<?> start(String address, int port) {
    return server.start(address, port);
  }

  /** Completes when all answers that were given to peers have been sent. */
  public Future<Void> answersSent() {
    return server.answersSent();
  }

  /**
   * Sets the address of a VM; closes an existing link if the address has changed, as soon as the
   * answers that are due on it have come.
   */
  public void add(FleetMember member) {
    FleetMember previous = members.put(member.name(), member);
    if (previous != null && !previous.hasAddressOf(member)) {
      closeLink(member.name());
    }
  }

  /** Forgets a VM and closes the link to it, as soon as the answers that are due have come. */
  public void remove(String vm) {
    members.remove(vm);
    closeLink(vm);
  }

  private void closeLink(String vm) {
    FleetLink link = links.remove(vm);
    if (link != null) {
      link.retire();
      if (!link.isClosed()) {
        retiredLinks.add(link);
      }
    }
  }

  /** Sets the VMs to which links are kept open for a use, and opens those that are missing. */
  public void setPeers(LinkUse use, Set<String> peers) {
    links.forEach((vm, link) -> link.setUse(use, peers.contains(vm)));
    long now = clock.now();
    for (String peer : peers) {
      FleetLink known = links.get(peer);
      link(peer).ifPresent(link -> link.setUse(use, true));
      if (known == null) {
        Optional.ofNullable(links.get(peer)).ifPresent(link -> link.tick(now, 0));
      }
    }
  }

  private Optional<FleetLink> link(String vm) {
    FleetMember member = members.get(vm);
    if (member == null) {
      return Optional.empty();
    }
    return Optional.of(
        links.computeIfAbsent(
            vm,
            any -> new FleetLink(client, clock, log, handler, hello, member, localHealth, budget)));
  }

  /** Sends due heartbeats and closes silent and unused links; must be called at each interval. */
  public void tick() {
    long now = clock.now();
    long delay = now - lastTickAt - TICK_INTERVAL_IN_MILLISECONDS;
    long pause =
        delay > TICK_DELAY_TOLERANCE_IN_MILLISECONDS ? localHealth.discountedPause(delay) : 0;
    lastTickAt = now;
    for (FleetLink link : List.copyOf(links.values())) {
      link.tick(now, pause);
    }
    List.copyOf(retiredLinks).forEach(link -> link.tick(now, pause));
    retiredLinks.removeIf(FleetLink::isClosed);
    List<String> unused = new ArrayList<>();
    links.forEach(
        (vm, link) -> {
          if (link.isUnused()) {
            unused.add(vm);
          }
        });
    unused.forEach(this::closeLink);
    server.closeSilentLinks(now, pause);
  }

  /** Sends a heartbeat to each of the given VMs to which a link is open, in either direction. */
  public void sendHeartbeats(Set<String> vms) {
    for (String vm : vms) {
      FleetLink link = links.get(vm);
      if (link != null && link.isOpen()) {
        link.sendHeartbeat();
      } else {
        server.sendHeartbeat(vm);
      }
    }
  }

  /** Sends a heartbeat over each link in either direction, so that peers send no new work. */
  public void announceLeaving() {
    List.copyOf(links.values()).forEach(FleetLink::sendHeartbeat);
    server.sendHeartbeats();
  }

  /**
   * Returns the link to a VM if statements may be sent to the VM; it is opened with the first
   * statement.
   */
  public Optional<FleetLink> availableLink(String vm) {
    return link(vm).filter(link -> link.isUsable(clock.now()));
  }

  /**
   * Opens the link to a VM, if there is none, for statements that are about to be sent. Returns
   * whether the VM has answered or an attempt to connect to it has failed.
   */
  public boolean prepare(String vm) {
    link(vm).filter(link -> !link.isReachabilityKnown()).ifPresent(FleetLink::prepare);
    return isReachabilityKnown(vm);
  }

  /** Returns whether a VM does not answer on the link to it; false if there is no link. */
  public boolean isSuspected(String vm) {
    FleetLink link = links.get(vm);
    return link != null && link.isSuspected(clock.now());
  }

  /** Returns whether a VM has said on the link to it that it is about to stop. */
  public boolean isLeaving(String vm) {
    FleetLink link = links.get(vm);
    return link != null && link.isLeaving();
  }

  /** Returns the VMs that do not answer on the links to them. */
  public Set<String> suspected() {
    long now = clock.now();
    Set<String> suspected = new HashSet<>();
    links.forEach(
        (vm, link) -> {
          if (link.isSuspected(now)) {
            suspected.add(vm);
          }
        });
    return suspected;
  }

  /** Registers a gauge of what waits to be sent on the links, in bytes. */
  public void registerMetrics(MetricRegistry metrics) {
    Gauge<Long> output = budget::pendingBytes;
    metrics.registerGauge("links.output-bytes", output);
  }

  /** Returns the number of open links to other VMs. */
  public int openLinks() {
    return (int) links.values().stream().filter(FleetLink::isOpen).count();
  }

  /** Sends a token request to an allowance holder. */
  public void requestTokens(String vm, TokenAsk request) {
    link(vm).ifPresent(link -> link.send(FleetFrame.newBuilder().setTokenAsk(request).build()));
  }

  /** Returns unused tokens to an allowance holder. */
  public void returnTokens(String vm, TokenReturn unused) {
    link(vm).ifPresent(link -> link.send(FleetFrame.newBuilder().setTokenReturn(unused).build()));
  }

  /** Sends totals to the holder of the duty of usage reports. */
  public void sendUsage(String vm, UsageTotals totals) {
    link(vm).ifPresent(link -> FrameWriter.usageTotals(totals).forEach(link::send));
  }

  /**
   * Returns whether a VM has answered, an attempt to connect to it has failed, or there is no link
   * to it.
   */
  public boolean isReachabilityKnown(String vm) {
    FleetLink link = links.get(vm);
    return link == null || link.isReachabilityKnown();
  }

  /** Asks a VM for its mirror of a kind of the store's objects, over a link in either direction. */
  public void pullMirror(String vm, MirrorPull request) {
    FleetFrame frame = FleetFrame.newBuilder().setMirrorPull(request).build();
    FleetLink link = links.get(vm);
    if (link != null && link.isOpen()) {
      link.send(frame);
    } else {
      server.send(vm, frame);
    }
  }
}
