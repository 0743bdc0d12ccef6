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

/** The links of this VM to the others. */
public final class FleetLinks {
  /** Between two pulses on a link; three fit into the time after which a peer is suspected. */
  public static final long PULSE_INTERVAL_IN_MILLISECONDS = 120;

  /** A tick that comes this much later than planned means that this VM itself stood still. */
  private static final long LATE_TICK_IN_MILLISECONDS = 150;

  private final NetClient client;
  private final VmClock clock;
  private final EventLog log;
  private final FleetHost host;
  private final FleetHello hello;
  private final FleetServer server;
  private final Map<String, FleetLink> links = new HashMap<>();
  private long lastTick;

  /** Creates links; nothing is opened yet. */
  public FleetLinks(
      NetClient client,
      NetServer server,
      VmClock clock,
      EventLog log,
      FleetHost host,
      String vm,
      long incarnation) {
    this.client = client;
    this.clock = clock;
    this.log = log;
    this.host = host;
    this.hello = FleetHello.newBuilder().setVm(vm).setIncarnation(incarnation).build();
    this.server = new FleetServer(server, clock, log, host);
    this.lastTick = clock.now();
  }

  /** Listens for links of other VMs. */
  public Future<?> start(String address, int port) {
    return server.start(address, port);
  }

  /** Keeps a link to a VM; a link to an earlier address of it is closed. */
  public void add(FleetMember member) {
    FleetLink known = links.get(member.name());
    if (known != null && known.member().hasAddressOf(member)) {
      return;
    }
    remove(member.name());
    links.put(member.name(), new FleetLink(client, clock, log, host, hello, member));
    tickLink(links.get(member.name()));
  }

  private void tickLink(FleetLink link) {
    link.tick(clock.now(), 0);
  }

  /** Closes the link to a VM. */
  public void remove(String vm) {
    FleetLink link = links.remove(vm);
    if (link != null) {
      link.close();
    }
  }

  /** Sends pulses and gives up what is silent; to be called at each pulse interval. */
  public void tick() {
    long now = clock.now();
    long late = now - lastTick - PULSE_INTERVAL_IN_MILLISECONDS;
    long paused = late > LATE_TICK_IN_MILLISECONDS ? late : 0;
    lastTick = now;
    for (FleetLink link : List.copyOf(links.values())) {
      link.tick(now, paused);
    }
    server.tick(now, paused);
  }

  /** Returns the link to a VM, if the VM answers and takes new statements. */
  public Optional<FleetLink> alive(String vm) {
    return Optional.ofNullable(links.get(vm)).filter(link -> link.isAlive(clock.now()));
  }

  /** Asks the keeper of customers' allowances for tokens. */
  public void ask(String vm, TokenAsk ask) {
    FleetLink link = links.get(vm);
    if (link != null) {
      link.ask(ask);
    }
  }

  /** Gives tokens back that were not used. */
  public void giveBack(String vm, TokenReturn unused) {
    FleetLink link = links.get(vm);
    if (link != null) {
      link.giveBack(unused);
    }
  }

  /** Returns whether the link to a VM is open, or could not be opened at the first attempt. */
  public boolean isDecided(String vm) {
    FleetLink link = links.get(vm);
    return link == null || link.isDecided();
  }

  /** Asks a VM for what it knows of a kind of the store's objects. */
  public void pull(String vm, String kind) {
    FleetLink link = links.get(vm);
    if (link != null) {
      link.pull(kind);
    }
  }
}
