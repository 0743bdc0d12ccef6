package org.toucanmast.runtime.vm;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.toucanmast.runtime.metrics.AdminServer;
import org.toucanmast.runtime.platform.PlatformMonitor;
import org.toucanmast.schema.Settings;

/**
 * One entry VM: starts and stops all its components together.
 *
 * <p>Example: {@code EntryVm vm = EntryVm.start(settings); ... vm.stop();}
 */
public final class EntryVm {
  private static final Logger log = System.getLogger(EntryVm.class.getName());
  private static final int EVENT_LOOP_THREADS = 3;
  private static final long START_TIMEOUT_IN_SECONDS = 20;

  private final Settings settings;
  private final Vertx vertx;
  private final RequestService requestService;

  private EntryVm(Settings settings, Vertx vertx, RequestService requestService) {
    this.settings = settings;
    this.vertx = vertx;
    this.requestService = requestService;
  }

  /**
   * Starts a VM with its listeners for callers, peers and operators.
   *
   * @throws StartException if a listener cannot be opened or a certificate cannot be read
   */
  public static EntryVm start(Settings settings) throws StartException {
    Vertx vertx =
        Vertx.vertx(
            new VertxOptions()
                .setEventLoopPoolSize(EVENT_LOOP_THREADS)
                .setPreferNativeTransport(false));
    MetricRegistry registry = new MetricRegistry();
    RequestService requestService = new RequestService(settings, registry);
    EntryVm vm = new EntryVm(settings, vertx, requestService);
    try {
      vm.deploy(registry);
    } catch (StartException e) {
      vertx.close();
      throw e;
    }
    log.log(Level.INFO, "VM {0} started", settings.getVm().getName());
    return vm;
  }

  private void deploy(MetricRegistry registry) throws StartException {
    await(vertx.deployVerticle(requestService), "the callers' and peers' listeners");
    PlatformMonitor platform =
        new PlatformMonitor(
            settings.getPlatform(),
            requestService.clock(),
            requestService.executor(),
            requestService.fleetManager(),
            new Random());
    registry.register("platform.calls", (Gauge<Long>) platform::calls);
    registry.register("platform.failures", (Gauge<Long>) platform::failures);
    requestService.startPeriodicWork(platform);
    await(vertx.deployVerticle(platform), "the platform client");
    AdminServer admin =
        new AdminServer(
            settings.getCallers().getAdminAddress(),
            registry,
            requestService.metrics(),
            requestService::isReady,
            requestService::status);
    await(vertx.deployVerticle(admin), "the listener for health and metrics");
  }

  private static void await(Future<?> future, String component) throws StartException {
    try {
      future
          .toCompletionStage()
          .toCompletableFuture()
          .get(START_TIMEOUT_IN_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new StartException(component, e);
    } catch (ExecutionException e) {
      throw new StartException(component, e.getCause());
    } catch (TimeoutException e) {
      throw new StartException(component, e);
    }
  }

  /**
   * Stops the VM gracefully: reports it as not ready, then refuses new work, then ends all requests
   * and transactions within the shutdown deadline. Every request is answered.
   *
   * @return whether all requests and transactions ended before the stop had to end them
   */
  public boolean stop() {
    log.log(Level.INFO, "VM {0} is stopping", settings.getVm().getName());
    long deadline =
        System.nanoTime()
            + settings.getShutdown().getAnnounceDelay()
            + settings.getShutdown().getDeadline();
    boolean drained = awaitUntil(deadline, requestService.stopServing()).orElse(false);
    awaitUntil(deadline, vertx.close());
    log.log(
        Level.INFO,
        "VM {0} stopped, {1}",
        settings.getVm().getName(),
        drained ? "all requests ended" : "the shutdown deadline passed before all work ended");
    return drained;
  }

  /** Waits for a result; returns empty if it failed or did not come until the deadline. */
  private static <T> Optional<T> awaitUntil(long deadline, Future<T> future) {
    try {
      return Optional.ofNullable(
          future
              .toCompletionStage()
              .toCompletableFuture()
              .get(Math.max(0, deadline - System.nanoTime()), TimeUnit.NANOSECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (ExecutionException | TimeoutException e) {
      log.log(Level.WARNING, "the stop goes on without a result", e);
      return Optional.empty();
    }
  }
}
