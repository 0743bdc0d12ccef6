package org.toucanmast.runtime.caller;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import org.slf4j.MDC;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.configuration.Route;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.runtime.metrics.RequestMetrics;
import org.toucanmast.runtime.request.AccessControl;
import org.toucanmast.runtime.request.CallerAnswer;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.Principal;
import org.toucanmast.runtime.request.RequestFailure;
import org.toucanmast.runtime.transaction.TransactionHandle;
import org.toucanmast.runtime.transaction.TransactionRequest;
import org.toucanmast.schema.CallerSettings;
import org.toucanmast.schema.TransactionStep;

/** The listener for callers, on the requests duty's thread. */
public final class CallerServer {
  private static final Logger log = System.getLogger(CallerServer.class.getName());
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final int MAXIMUM_HEADER_SIZE_IN_BYTES = 32 * 1024;
  private static final long LIMITER_INTERVAL_IN_MILLISECONDS = 500;

  /** What the listener passes requests to. */
  public interface Service {
    /** Runs a request of its own. */
    Future<CallerAnswer> run(CallerRequest request);

    /** Begins a transaction. */
    Future<CallerAnswer> begin(CallerRequest request);

    /** Runs a step of a transaction, here or at the VM that owns it. */
    Future<CallerAnswer> step(TransactionRequest step);
  }

  private final Vertx vertx;
  private final CallerSettings settings;
  private final ConfigurationState configuration;
  private final AccessControl access;
  private final Service service;
  private final RequestMetrics metrics;
  private final LongSupplier clock;
  private final RequestParser parser;
  private final BodyReader bodies;
  private final AnswerWriter writer = new AnswerWriter();
  private final ConnectionLimiter limiter;
  private HttpServer server;
  private boolean stopping;

  /** Creates the listener; nothing is opened yet. */
  public CallerServer(
      Vertx vertx,
      CallerSettings settings,
      ConfigurationState configuration,
      AccessControl access,
      Service service,
      RequestMetrics metrics,
      LongSupplier clock) {
    this.vertx = vertx;
    this.settings = settings;
    this.configuration = configuration;
    this.access = access;
    this.service = service;
    this.metrics = metrics;
    this.clock = clock;
    this.parser = new RequestParser(settings.getRequestTimeout());
    long timeout = settings.getRequestTimeout() / NANOSECONDS_PER_MILLISECOND;
    this.bodies = new BodyReader(vertx, settings.getMaximumRequestSize(), timeout);
    this.limiter =
        new ConnectionLimiter(
            (int) settings.getMaximumConnections(), settings.getIdleTimeout(), clock);
  }

  /** Opens the listener. */
  public Future<Void> start() {
    HostAndPort address = HostAndPort.fromString(settings.getAddress());
    vertx.setPeriodic(LIMITER_INTERVAL_IN_MILLISECONDS, timer -> limiter.tick(clock.getAsLong()));
    server =
        vertx
            .createHttpServer(
                new HttpServerOptions()
                    .setMaxHeaderSize(MAXIMUM_HEADER_SIZE_IN_BYTES)
                    .setHttp2ClearTextEnabled(false)
                    .setTcpNoDelay(true))
            .connectionHandler(limiter::onOpen)
            .requestHandler(this::handle);
    return server.listen(address.getPort(), address.getHost()).mapEmpty();
  }

  /** Refuses new requests from now on; running ones finish. */
  public void stopAccepting() {
    stopping = true;
    writer.closeConnections();
    limiter.closeIdle();
  }

  /** Closes the listener. */
  public Future<Void> close() {
    return server == null ? Future.succeededFuture() : server.close();
  }

  private void handle(HttpServerRequest request) {
    metrics.onBegin();
    limiter.onRequest(request.connection());
    long arrivedAt = clock.getAsLong();
    request
        .response()
        .endHandler(
            ended -> {
              metrics.onEnd();
              limiter.onAnswered(request.connection());
            });
    request.response().exceptionHandler(cause -> {});
    bodies
        .read(request)
        .compose(body -> dispatch(request, body, arrivedAt))
        .onFailure(cause -> refuse(request, "-", "-", cause));
  }

  private Future<Void> dispatch(HttpServerRequest request, Buffer body, long now) {
    try {
      if (stopping && !isTransactionStep(request)) {
        throw new RefusedException(Refusal.STOPPING);
      }
      List<String> path = Paths.segments(request.path());
      if (Paths.matches(path, "v1", "routes", null, null) && request.method() == HttpMethod.GET) {
        return openRead(request, path.get(2), path.get(3), now);
      }
      if (request.method() != HttpMethod.POST) {
        throw new RefusedException(Refusal.NOT_FOUND);
      }
      Principal principal = access.authenticate(RequestParser.keyOf(request));
      if (Paths.matches(path, "v1", "databases", null, "requests")) {
        CallerRequest parsed =
            parser.parse(request, principal, path.get(2), body, RequestKind.WRITE, now);
        return finish(request, parsed, service.run(checked(parsed)));
      }
      if (Paths.matches(path, "v1", "databases", null, "transactions")) {
        CallerRequest parsed =
            parser.parse(request, principal, path.get(2), body, RequestKind.WRITE, now);
        return finish(request, parsed, service.begin(parsed));
      }
      if (Paths.matches(path, "v1", "transactions", null, null)) {
        return step(request, principal, path, body, now);
      }
      throw new RefusedException(Refusal.NOT_FOUND);
    } catch (RefusedException e) {
      return Future.failedFuture(e);
    }
  }

  private static CallerRequest checked(CallerRequest request) throws RefusedException {
    if (request.statements().isEmpty()) {
      throw new RefusedException(Refusal.MALFORMED, "there is no statement");
    }
    return request;
  }

  private static boolean isTransactionStep(HttpServerRequest request) {
    return request.path() != null && request.path().startsWith("/v1/transactions/");
  }

  private Future<Void> step(
      HttpServerRequest request, Principal principal, List<String> path, Buffer body, long now)
      throws RefusedException {
    TransactionStep step =
        switch (path.get(3)) {
          case "statements" -> TransactionStep.CONTINUE;
          case "commit" -> TransactionStep.COMMIT;
          case "rollback" -> TransactionStep.ROLLBACK;
          default -> throw new RefusedException(Refusal.NOT_FOUND);
        };
    Optional<TransactionHandle> handle = TransactionHandle.parse(path.get(2));
    if (handle.isEmpty()) {
      throw new RefusedException(Refusal.NOT_FOUND);
    }
    CallerRequest parsed =
        parser.parse(request, principal, handle.get().database(), body, RequestKind.WRITE, now);
    return finish(
        request, parsed, service.step(new TransactionRequest(handle.get(), step, parsed)));
  }

  private Future<Void> openRead(HttpServerRequest request, String name, String key, long now)
      throws RefusedException {
    Route route = configuration.current().routes().get(name);
    if (route == null) {
      throw new RefusedException(Refusal.NOT_FOUND);
    }
    CallerRequest parsed =
        parser.openRead(
            request,
            new Principal(route.allowanceName(), ""),
            route.database(),
            "get " + route.prefix() + key,
            route.maximumAge(),
            now);
    return finish(request, parsed, service.run(parsed));
  }

  private Future<Void> finish(
      HttpServerRequest request, CallerRequest parsed, Future<CallerAnswer> running) {
    running
        .onSuccess(
            answer -> {
              metrics.onRan(
                  parsed.principal().name(),
                  parsed.kind(),
                  answer.replica(),
                  clock.getAsLong() - parsed.arrivedAt());
              writer.answer(request, parsed.id(), answer);
            })
        .onFailure(cause -> refuse(request, parsed.id(), parsed.principal().name(), cause));
    return Future.succeededFuture();
  }

  private void refuse(HttpServerRequest request, String id, String customer, Throwable cause) {
    RefusedException refused = refusalOf(cause);
    SessionToken token =
        cause instanceof RequestFailure failure ? failure.token() : SessionToken.empty();
    metrics.onRefused(customer, refused.refusal());
    try (MDC.MDCCloseable ignored = MDC.putCloseable("requestId", id)) {
      log.log(
          Level.INFO,
          "refused {0} of {1}: {2}, {3}",
          request.method(),
          customer,
          refused.refusal().code(),
          refused.outcome().text());
    }
    writer.refuse(request, id, refused, token);
  }

  private static RefusedException refusalOf(Throwable cause) {
    if (cause instanceof RequestFailure failure) {
      return failure.refused();
    }
    if (cause instanceof RefusedException refused) {
      return refused;
    }
    log.log(Level.ERROR, "request failed unexpectedly", cause);
    return new RefusedException(Refusal.OUTCOME_UNKNOWN);
  }
}
