package org.toucanmast.runtime.platform;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.concurrent.Executor;
import java.util.function.LongSupplier;
import org.toucanmast.core.membership.Epoch;
import org.toucanmast.runtime.eventloop.EventLoopQueue;
import org.toucanmast.schema.PlatformSettings;

/**
 * Watches the platform, on a thread of its own, so that a slow platform never delays a request.
 *
 * <p>Orders come in and events go out over bounded rings.
 */
public final class PlatformDuty extends VerticleBase {
  private static final Logger log = System.getLogger(PlatformDuty.class.getName());
  private static final int RING_CAPACITY = 256;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final long MINIMUM_PAUSE_IN_MILLISECONDS = 100;
  private static final long MAXIMUM_PAUSE_IN_MILLISECONDS = 1_000;
  private static final long IDLE_CHECK_IN_MILLISECONDS = 100;

  /** What the requests duty orders. */
  private interface Order {
    void apply();
  }

  private final PlatformSettings settings;
  private final LongSupplier clock;
  private final EventLoopQueue<Runnable> events;
  private final PlatformEvents listener;
  private final Random random;
  private EventLoopQueue<Order> orders;
  private volatile PlatformClient client;
  private boolean watching = true;
  private long knownRevision;
  private int failures;

  /**
   * Creates the duty.
   *
   * @param requests runs a task on the requests duty's thread
   * @param listener receives events on that thread
   * @param random spreads the pauses after failures
   */
  public PlatformDuty(
      PlatformSettings settings,
      LongSupplier clock,
      Executor requests,
      PlatformEvents listener,
      Random random) {
    this.settings = settings;
    this.clock = clock;
    this.events = new EventLoopQueue<>(RING_CAPACITY, requests, Runnable::run);
    this.listener = listener;
    this.random = random;
  }

  @Override
  public Future<?> start() {
    long timeout = settings.getCallTimeout() / NANOSECONDS_PER_MILLISECOND;
    Context duty = context;
    orders =
        new EventLoopQueue<>(
            RING_CAPACITY, task -> duty.runOnContext(nothing -> task.run()), Order::apply);
    client = new PlatformClient(vertx, settings.getAddress(), timeout);
    watchConfiguration();
    vertx.setPeriodic(0, settings.getListInterval() / NANOSECONDS_PER_MILLISECOND, timer -> list());
    return Future.succeededFuture();
  }

  /** Sets whether this VM watches the configuration itself. */
  public void watch(boolean wanted) {
    offer(() -> watching = wanted);
  }

  /** Notes a revision that came from a peer, so that only higher ones are waited for. */
  public void learn(long revision) {
    offer(() -> knownRevision = Math.max(knownRevision, revision));
  }

  /** Proposes the members of the next epoch; takes effect only if no other proposal came first. */
  public void propose(Epoch current, SortedSet<String> members) {
    offer(() -> writeEpoch(current, members));
  }

  /** Returns how many calls were made. */
  public long calls() {
    return client == null ? 0 : client.calls();
  }

  /** Returns how many calls were not answered. */
  public long failures() {
    return client == null ? 0 : client.failures();
  }

  private void offer(Order order) {
    EventLoopQueue<Order> ring = orders;
    if (ring != null) {
      ring.offer(order);
    }
  }

  private void watchConfiguration() {
    if (!watching) {
      vertx.setTimer(IDLE_CHECK_IN_MILLISECONDS, timer -> watchConfiguration());
      return;
    }
    long startedAt = clock.getAsLong();
    long wait = knownRevision == 0 ? 0 : settings.getWatchWait() / NANOSECONDS_PER_MILLISECOND;
    client
        .watch("configuration", "main", knownRevision, wait)
        .onSuccess(
            found -> {
              failures = 0;
              knownRevision = Math.max(knownRevision, found.version());
              events.offer(
                  () -> listener.onConfiguration(found.version(), found.value(), startedAt));
              vertx.runOnContext(nothing -> watchConfiguration());
            })
        .onFailure(
            cause -> {
              failures++;
              if (failures == 1) {
                log.log(Level.WARNING, "configuration watch: {0}", cause.getMessage());
              }
              vertx.setTimer(pauseAfterFailure(), timer -> watchConfiguration());
            });
  }

  private long pauseAfterFailure() {
    long bound =
        Math.min(
            MAXIMUM_PAUSE_IN_MILLISECONDS, MINIMUM_PAUSE_IN_MILLISECONDS << Math.min(failures, 10));
    return bound / 2 + random.nextInt((int) bound / 2 + 1);
  }

  private void list() {
    client.listVms().onSuccess(vms -> events.offer(() -> listener.onVms(vms)));
    client
        .read("membership", "epoch")
        .onSuccess(found -> events.offer(() -> listener.onEpoch(epochOf(found))));
  }

  private static Epoch epochOf(PlatformObject found) {
    JsonArray names = new JsonObject(found.value()).getJsonArray("members", new JsonArray());
    SortedSet<String> members = new TreeSet<>();
    names.forEach(name -> members.add(String.valueOf(name)));
    return new Epoch(found.version(), members);
  }

  private void writeEpoch(Epoch current, SortedSet<String> members) {
    JsonArray names = new JsonArray();
    members.forEach(names::add);
    client
        .update(
            "membership",
            "epoch",
            current.number(),
            new JsonObject().put("members", names).encode())
        .onSuccess(version -> events.offer(() -> listener.onEpoch(new Epoch(version, members))))
        .onFailure(cause -> log.log(Level.INFO, "epoch proposal: {0}", cause.getMessage()));
  }
}
