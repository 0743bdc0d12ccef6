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
import org.toucanmast.runtime.allowance.SharedAllowances;
import org.toucanmast.runtime.endpoint.EndpointConnection;
import org.toucanmast.runtime.endpoint.EndpointException;
import org.toucanmast.runtime.endpoint.EndpointPool;
import org.toucanmast.runtime.group.DatabaseGroup;

/**
 * Runs requests: admits them, chooses an endpoint, sends them, and passes on an answer once it is
 * known to be true.
 *
 * <p>All methods are called on the requests duty's thread.
 */
public final class RequestProcessor {
  private static final long RETRY_PAUSE_IN_MILLISECONDS = 5;
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;

  private final Vertx vertx;
  private final Map<String, DatabaseGroup> groups;
  private final SharedAllowances allowances;
  private final AccessControl access;
  private final LongSupplier clock;
  private final InstantSource wallClock;
  private final long callTimeout;

  /**
   * Creates the path.
   *
   * @param groups the database groups by name
   * @param callTimeout the most time that one call to an endpoint may take, in nanoseconds
   */
  public RequestProcessor(
      Vertx vertx,
      Map<String, DatabaseGroup> groups,
      SharedAllowances allowances,
      AccessControl access,
      LongSupplier clock,
      InstantSource wallClock,
      long callTimeout) {
    this.vertx = vertx;
    this.groups = groups;
    this.allowances = allowances;
    this.access = access;
    this.clock = clock;
    this.wallClock = wallClock;
    this.callTimeout = callTimeout;
  }

  /**
   * Runs a request.
   *
   * @return the answer; fails with {@link RequestFailure}, whose outcome is true
   */
  public Future<CallerAnswer> run(CallerRequest request) {
    return admit(request)
        .compose(group -> new RequestAttempts(this, group, request).run())
        .recover(cause -> Future.failedFuture(RequestFailure.of(cause, request.token())));
  }

  /**
   * Checks and admits a request that has not been sent anywhere.
   *
   * @return the group of its database; fails with {@link RefusedException}
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
    return allowances.admit(request.principal().name(), request.deadline()).map(group);
  }

  /** Checks that the request's key still opens its database. */
  void checkAccess(CallerRequest request) throws RefusedException {
    access.check(request.principal(), request.database(), wallClock.instant());
  }

  /** Returns where a request that must run at the primary goes, once a primary is known. */
  public Future<Destination> awaitPrimary(DatabaseGroup group, CallerRequest request) {
    Optional<Destination> destination = group.router().forPrimary(group.view(), request.token());
    if (destination.isPresent()) {
      return Future.succeededFuture(destination.get());
    }
    return pause(request).compose(nothing -> awaitPrimary(group, request));
  }

  /**
   * Waits for a connection, then checks the key again.
   *
   * @return a connection to be released; fails with {@link RefusedException} or {@link
   *     EndpointException}, and nothing was sent then
   */
  public Future<EndpointConnection> connect(
      DatabaseGroup group, Destination destination, CallerRequest request) {
    Optional<EndpointPool> pool = group.pool(destination.endpoint());
    if (pool.isEmpty()) {
      return Future.failedFuture(
          new EndpointException(EndpointException.Kind.NOT_SENT, "no such endpoint"));
    }
    return pool.get()
        .acquire(request.principal().name(), request.deadline())
        .compose(
            connection -> {
              try {
                checkAccess(request);
                return Future.succeededFuture(connection);
              } catch (RefusedException e) {
                pool.get().release(connection);
                return Future.failedFuture(e);
              }
            });
  }

  /** Gives a connection back to its pool. */
  public void release(DatabaseGroup group, EndpointConnection connection) {
    group
        .pool(connection.endpoint())
        .ifPresentOrElse(pool -> pool.release(connection), connection::close);
  }

  /** Waits a moment before another attempt; fails when the request's deadline has passed. */
  public Future<Void> pause(CallerRequest request) {
    if (clock.getAsLong() - request.deadline() >= 0) {
      return Future.failedFuture(new RefusedException(Refusal.UNAVAILABLE));
    }
    return vertx.timer(RETRY_PAUSE_IN_MILLISECONDS, TimeUnit.MILLISECONDS).mapEmpty();
  }

  /** Returns how long a call for this request may take, in milliseconds. */
  public long timeoutFor(CallerRequest request) {
    long remaining = request.deadline() - clock.getAsLong();
    return Math.max(1, Math.min(remaining, callTimeout) / NANOSECONDS_PER_MILLISECOND);
  }

  /** Returns the present time, in nanoseconds. */
  public long now() {
    return clock.getAsLong();
  }
}
