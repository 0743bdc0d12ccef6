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
 * Monitors the platform's configuration, list of VMs and epoch. Runs on an event loop of its own,
 * so that a slow platform does not delay requests.
 *
 * <p>Commands come in and events go out through bounded queues.
 */
public final class PlatformMonitor extends VerticleBase {
  private static final Logger log = System.getLogger(PlatformMonitor.class.getName());
  private static final int QUEUE_CAPACITY = 256;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final long MINIMUM_RETRY_DELAY_IN_MILLISECONDS = 100;
  private static final long MAXIMUM_RETRY_DELAY_IN_MILLISECONDS = 1_000;
  private static final long WATCH_CHECK_INTERVAL_IN_MILLISECONDS = 100;

  /** A command from the request event loop. */
  private interface Command {
    void apply();
  }

  private final PlatformSettings settings;
  private final LongSupplier clock;
  private final EventLoopQueue<Runnable> events;
  private final PlatformListener listener;
  private final Random random;
  private EventLoopQueue<Command> commands;
  private volatile PlatformClient client;
  private boolean watching = true;
  private long knownRevision;
  private int consecutiveFailures;

  /**
   * Creates a monitor that is not started.
   *
   * @param clock the present time, in nanoseconds
   * @param requestLoop runs a task on the request event loop
   * @param listener receives events on the request event loop
   * @param random spreads the delays after failures
   */
  public PlatformMonitor(
      PlatformSettings settings,
      LongSupplier clock,
      Executor requestLoop,
      PlatformListener listener,
      Random random) {
    this.settings = settings;
    this.clock = clock;
    this.events = new EventLoopQueue<>(QUEUE_CAPACITY, requestLoop, Runnable::run);
    this.listener = listener;
    this.random = random;
  }

  @Override
  public Future<?> start() {
    long timeoutInMilliseconds = settings.getCallTimeout() / NANOSECONDS_PER_MILLISECOND;
    Context eventLoop = context;
    commands =
        new EventLoopQueue<>(
            QUEUE_CAPACITY, task -> eventLoop.runOnContext(nothing -> task.run()), Command::apply);
    client = new PlatformClient(vertx, settings.getAddress(), timeoutInMilliseconds);
    watchConfiguration();
    vertx.setPeriodic(
        0, settings.getListInterval() / NANOSECONDS_PER_MILLISECOND, timer -> readVmsAndEpoch());
    return Future.succeededFuture();
  }

  /**
   * Sets whether this VM watches the platform for new configurations; otherwise it receives them
   * from peers.
   */
  public void setWatching(boolean enabled) {
    offer(() -> watching = enabled);
  }

  /** Registers a revision that a peer has sent, so that the watch waits only for higher ones. */
  public void onRevisionReceived(long revision) {
    offer(() -> knownRevision = Math.max(knownRevision, revision));
  }

  /**
   * Proposes the members of the next epoch; has no effect if another proposal was written first.
   */
  public void proposeEpoch(Epoch current, SortedSet<String> members) {
    offer(() -> writeEpoch(current, members));
  }

  /** Returns the number of calls made. */
  public long calls() {
    return client == null ? 0 : client.calls();
  }

  /** Returns the number of calls that got no answer. */
  public long failures() {
    return client == null ? 0 : client.failures();
  }

  private void offer(Command command) {
    EventLoopQueue<Command> queue = commands;
    if (queue != null) {
      queue.offer(command);
    }
  }

  private void watchConfiguration() {
    if (!watching) {
      vertx.setTimer(WATCH_CHECK_INTERVAL_IN_MILLISECONDS, timer -> watchConfiguration());
      return;
    }
    long startedAt = clock.getAsLong();
    long waitInMilliseconds =
        knownRevision == 0 ? 0 : settings.getWatchWait() / NANOSECONDS_PER_MILLISECOND;
    client
        .watch("configuration", "main", knownRevision, waitInMilliseconds)
        .onSuccess(
            object -> {
              consecutiveFailures = 0;
              knownRevision = Math.max(knownRevision, object.version());
              events.offer(
                  () -> listener.onConfiguration(object.version(), object.value(), startedAt));
              vertx.runOnContext(nothing -> watchConfiguration());
            })
        .onFailure(
            cause -> {
              consecutiveFailures++;
              if (consecutiveFailures == 1) {
                log.log(
                    Level.WARNING, "watching the configuration failed: {0}", cause.getMessage());
              }
              vertx.setTimer(retryDelayInMilliseconds(), timer -> watchConfiguration());
            });
  }

  private long retryDelayInMilliseconds() {
    long bound =
        Math.min(
            MAXIMUM_RETRY_DELAY_IN_MILLISECONDS,
            MINIMUM_RETRY_DELAY_IN_MILLISECONDS << Math.min(consecutiveFailures, 10));
    return bound / 2 + random.nextInt((int) bound / 2 + 1);
  }

  private void readVmsAndEpoch() {
    client.listVms().onSuccess(vms -> events.offer(() -> listener.onVms(vms)));
    client
        .read("membership", "epoch")
        .map(PlatformMonitor::epochOf)
        .onSuccess(epoch -> events.offer(() -> listener.onEpoch(epoch)));
  }

  private static Epoch epochOf(PlatformObject object) {
    JsonArray names = new JsonObject(object.value()).getJsonArray("members", new JsonArray());
    SortedSet<String> members = new TreeSet<>();
    names.forEach(name -> members.add(String.valueOf(name)));
    return new Epoch(object.version(), members);
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
        .onFailure(
            cause -> log.log(Level.INFO, "proposing an epoch failed: {0}", cause.getMessage()));
  }
}
