package org.toucanmast.runtime.fleet;

import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.schema.FleetHello;
import org.toucanmast.schema.TokenAsk;
import org.toucanmast.schema.TokenReturn;

/** The links between this VM and its peers. */
public final class FleetLinks {
  /** Interval between heartbeats on a link; a peer is suspected after nearly three intervals. */
  public static final long HEARTBEAT_INTERVAL_IN_MILLISECONDS = 120;

  /** A tick that is delayed by more than this shows that this VM itself was suspended. */
  private static final long TICK_DELAY_TOLERANCE_IN_MILLISECONDS = 150;

  private final NetClient client;
  private final VmClock clock;
  private final EventLog log;
  private final FleetMessageHandler handler;
  private final FleetHello hello;
  private final FleetServer server;
  private final Map<String, FleetLink> links = new HashMap<>();
  private long lastTickAt;

  /**
   * Creates an instance without links.
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
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.handler = handler;
    this.hello = FleetHello.newBuilder().setVm(vm).setIncarnation(incarnation).build();
    this.server = new FleetServer(server, clock, log, handler);
    this.lastTickAt = clock.now();
  }

  /** Starts to listen for links from peers. */
  public Future<?> start(String address, int port) {
    return server.start(address, port);
  }

  /** Adds a link to a VM; closes an existing link if the VM's address has changed. */
  public void add(FleetMember member) {
    FleetLink existing = links.get(member.name());
    if (existing != null && existing.member().hasAddressOf(member)) {
      return;
    }
    remove(member.name());
    links.put(member.name(), new FleetLink(client, clock, log, handler, hello, member));
    startLink(links.get(member.name()));
  }

  private void startLink(FleetLink link) {
    link.tick(clock.now(), 0);
  }

  /** Closes and removes the link to a VM. */
  public void remove(String vm) {
    FleetLink link = links.remove(vm);
    if (link != null) {
      link.close();
    }
  }

  /** Sends heartbeats and closes silent links; must be called at each heartbeat interval. */
  public void tick() {
    long now = clock.now();
    long delay = now - lastTickAt - HEARTBEAT_INTERVAL_IN_MILLISECONDS;
    long pause = delay > TICK_DELAY_TOLERANCE_IN_MILLISECONDS ? delay : 0;
    lastTickAt = now;
    for (FleetLink link : List.copyOf(links.values())) {
      link.tick(now, pause);
    }
    server.closeSilentLinks(now, pause);
  }

  /** Returns the link to a VM if the VM answers and accepts new statements. */
  public Optional<FleetLink> availableLink(String vm) {
    return Optional.ofNullable(links.get(vm)).filter(link -> link.isAvailable(clock.now()));
  }

  /** Sends a token request to an allowance holder, if there is a link to it. */
  public void requestTokens(String vm, TokenAsk request) {
    FleetLink link = links.get(vm);
    if (link != null) {
      link.requestTokens(request);
    }
  }

  /** Returns unused tokens to an allowance holder, if there is a link to it. */
  public void returnTokens(String vm, TokenReturn unused) {
    FleetLink link = links.get(vm);
    if (link != null) {
      link.returnTokens(unused);
    }
  }

  /**
   * Returns whether a VM is available, an attempt to connect to it has failed, or there is no link
   * to it.
   */
  public boolean isReachabilityKnown(String vm) {
    FleetLink link = links.get(vm);
    return link == null || link.isReachabilityKnown();
  }

  /** Asks a VM for its mirror of a kind of the store's objects, if there is a link to it. */
  public void pullMirror(String vm, String kind) {
    FleetLink link = links.get(vm);
    if (link != null) {
      link.pullMirror(kind);
    }
  }
}
