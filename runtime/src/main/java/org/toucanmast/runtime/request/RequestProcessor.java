package org.toucanmast.runtime.request;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.routing.Destination;
import org.toucanmast.core.stop.StopPhase;
import org.toucanmast.runtime.allowance.SharedAllowances;
import org.toucanmast.runtime.endpoint.EndpointConnection;
import org.toucanmast.runtime.endpoint.EndpointException;
import org.toucanmast.runtime.endpoint.EndpointPool;
import org.toucanmast.runtime.group.DatabaseGroup;

/**
 * Processes requests: admits them, chooses an endpoint, sends them, and returns answers that a
 * majority confirmed or that come from a sufficiently recent replica.
 *
 * <p>All methods must be called on the event loop of the request service.
 */
public final class RequestProcessor {
  private static final long RETRY_DELAY_IN_MILLISECONDS = 5;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Vertx vertx;
  private final Map<String, DatabaseGroup> groups;
  private final SharedAllowances allowances;
  private final AccessControl accessControl;
  private final LongSupplier clock;
  private final InstantSource wallClock;
  private final long callTimeoutInNanoseconds;
  private final StopState stop;

  /**
   * Creates the processor.
   *
   * @param groups the database groups by name
   * @param clock the monotonic clock, in nanoseconds
   * @param wallClock the time of day, for opening hours
   * @param callTimeoutInNanoseconds the maximum duration of one call to an endpoint
   * @param stop the planned stop of this VM
   */
  public RequestProcessor(
      Vertx vertx,
      Map<String, DatabaseGroup> groups,
      SharedAllowances allowances,
      AccessControl accessControl,
      LongSupplier clock,
      InstantSource wallClock,
      long callTimeoutInNanoseconds,
      StopState stop) {
    this.vertx = vertx;
    this.groups = groups;
    this.allowances = allowances;
    this.accessControl = accessControl;
    this.clock = clock;
    this.wallClock = wallClock;
    this.callTimeoutInNanoseconds = callTimeoutInNanoseconds;
    this.stop = stop;
  }

  /**
   * Runs a request, with retries if they are safe.
   *
   * @return the answer; fails with {@link RequestFailure}, whose outcome tells whether the request
   *     may have run
   */
  public Future<CallerAnswer> run(CallerRequest request) {
    return admit(request)
        .compose(group -> new RequestAttempts(this, group, request).run())
        .recover(cause -> Future.failedFuture(RequestFailure.of(cause, request.token())));
  }

  /**
   * Checks access for a request that was not sent to any endpoint yet, takes a token of the
   * customer's allowance, and checks access again: a refused token may be that of a customer that
   * no longer holds the key.
   *
   * @return the group of the requested database; fails with {@link RefusedException}
   */
  public Future<DatabaseGroup> admit(CallerRequest request) {
    try {
      checkAccess(request);
    } catch (RefusedException e) {
      return Future.failedFuture(e);
    }
    DatabaseGroup group = groups.get(request.database());
    if (group == null) {
      return Future.failedFuture(new RefusedException(Refusal.NOT_FOUND));
    }
    group.markUsed(clock.getAsLong());
    return allowances
        .admit(request.principal().name(), request.deadline())
        .transform(
            admitted -> {
              try {
                checkAccess(request);
              } catch (RefusedException e) {
                return Future.failedFuture(e);
              }
              return admitted.succeeded()
                  ? Future.succeededFuture(group)
                  : Future.failedFuture(admitted.cause());
            });
  }

  /**
   * Checks that the principal of a request may still use its database.
   *
   * @throws RefusedException if it may not
   */
  void checkAccess(CallerRequest request) throws RefusedException {
    accessControl.check(request.principal(), request.database(), wallClock.instant());
  }

  /**
   * Waits until a primary is known.
   *
   * @return the primary as the destination of the request; fails with {@link RefusedException}
   *     after the request's deadline
   */
  public Future<Destination> awaitPrimary(DatabaseGroup group, CallerRequest request) {
    Optional<Destination> destination = group.router().forPrimary(group.view(), request.token());
    if (destination.isPresent()) {
      return Future.succeededFuture(destination.get());
    }
    return awaitRetry(request).compose(nothing -> awaitPrimary(group, request));
  }

  /**
   * Waits for a connection, then checks access again.
   *
   * @return a connection that the caller must release; if it fails with {@link RefusedException} or
   *     {@link EndpointException}, nothing was sent
   */
  public Future<EndpointConnection> connect(
      DatabaseGroup group, Destination destination, CallerRequest request) {
    Optional<EndpointPool> pool = group.pool(destination.endpoint());
    if (pool.isEmpty()) {
      return Future.failedFuture(
          new EndpointException(
              EndpointException.Kind.NOT_SENT, "endpoint is not in the configuration"));
    }
    try {
      checkSending();
    } catch (RefusedException e) {
      return Future.failedFuture(e);
    }
    return pool.get()
        .acquire(request.principal().name(), request.deadline())
        .compose(
            connection -> {
              try {
                checkAccess(request);
                checkSending();
                return Future.succeededFuture(connection);
              } catch (RefusedException e) {
                pool.get().release(connection);
                return Future.failedFuture(e);
              }
            });
  }

  /** Returns a connection to its pool, or closes it if the pool was removed. */
  public void release(DatabaseGroup group, EndpointConnection connection) {
    group
        .pool(connection.endpoint())
        .ifPresentOrElse(pool -> pool.release(connection), connection::close);
  }

  /**
   * Waits for the retry delay; fails with {@link RefusedException} if the request's deadline has
   * passed or this VM is stopping and sends nothing to endpoints any more.
   */
  public Future<Void> awaitRetry(CallerRequest request) {
    if (clock.getAsLong() - request.deadline() >= 0) {
      return Future.failedFuture(new RefusedException(Refusal.UNAVAILABLE));
    }
    try {
      checkSending();
    } catch (RefusedException e) {
      return Future.failedFuture(e);
    }
    return vertx.timer(RETRY_DELAY_IN_MILLISECONDS, TimeUnit.MILLISECONDS).mapEmpty();
  }

  private void checkSending() throws RefusedException {
    if (!stop.phaseAt(clock.getAsLong()).sendsAcceptedWork()) {
      throw new RefusedException(Refusal.STOPPING);
    }
  }

  /** Returns the phase of the planned stop of this VM. */
  public StopPhase stopPhase() {
    return stop.phaseAt(clock.getAsLong());
  }

  /**
   * Returns the call timeout, or the request's remaining time or that of a planned stop if that is
   * shorter; at least 1 ms.
   */
  public long callTimeoutInMilliseconds(CallerRequest request) {
    long now = clock.getAsLong();
    long remainingInNanoseconds = Math.min(request.deadline() - now, stop.timeForCall(now));
    return Math.max(
        1,
        Math.min(remainingInNanoseconds, callTimeoutInNanoseconds) / NANOSECONDS_PER_MILLISECOND);
  }

  /** Returns the current time, in nanoseconds. */
  public long now() {
    return clock.getAsLong();
  }
}
