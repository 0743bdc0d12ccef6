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
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongSupplier;
import org.slf4j.MDC;
import org.toucanmast.core.configuration.ConfigurationState;
import org.toucanmast.core.configuration.Route;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.core.stop.RequestStep;
import org.toucanmast.runtime.metrics.RequestMetrics;
import org.toucanmast.runtime.request.AccessControl;
import org.toucanmast.runtime.request.CallerAnswer;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.Principal;
import org.toucanmast.runtime.request.RequestFailure;
import org.toucanmast.runtime.request.StopState;
import org.toucanmast.runtime.transaction.TransactionHandle;
import org.toucanmast.runtime.transaction.TransactionRequest;
import org.toucanmast.schema.CallerSettings;
import org.toucanmast.schema.TransactionStep;

/** The HTTP server for callers; runs on the request event loop. */
public final class CallerServer {
  private static final Logger log = System.getLogger(CallerServer.class.getName());
  private static final long NANOSECONDS_PER_MILLISECOND = 1_000_000;
  private static final int MAXIMUM_HEADER_SIZE_IN_BYTES = 32 * 1024;
  private static final long IDLE_CHECK_INTERVAL_IN_MILLISECONDS = 500;

  /**
   * Executes the requests that the server has received. A failed future carries a {@link
   * RequestFailure} or a {@link RefusedException}; any other failure is reported as an unknown
   * outcome.
   */
  public interface Service {
    /** Runs a request outside of a transaction. */
    Future<CallerAnswer> run(CallerRequest request);

    /** Begins a transaction. */
    Future<CallerAnswer> begin(CallerRequest request);

    /** Runs a step of a transaction, on this VM or on the VM that owns the transaction. */
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
  private final BodyReader bodyReader;
  private final ResponseWriter responseWriter = new ResponseWriter();
  private final ConnectionLimiter limiter;
  private final StopState stop;
  private final Set<HttpServerRequest> unanswered = new LinkedHashSet<>();
  private HttpServer server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param clock the present time, in nanoseconds
   * @param stop the planned stop of this VM
   */
  public CallerServer(
      Vertx vertx,
      CallerSettings settings,
      ConfigurationState configuration,
      AccessControl access,
      Service service,
      RequestMetrics metrics,
      LongSupplier clock,
      StopState stop) {
    this.vertx = vertx;
    this.settings = settings;
    this.configuration = configuration;
    this.access = access;
    this.service = service;
    this.metrics = metrics;
    this.clock = clock;
    this.stop = stop;
    this.parser = new RequestParser(settings.getRequestTimeout());
    long timeoutInMilliseconds = settings.getRequestTimeout() / NANOSECONDS_PER_MILLISECOND;
    this.bodyReader =
        new BodyReader(vertx, settings.getMaximumRequestSize(), timeoutInMilliseconds);
    this.limiter =
        new ConnectionLimiter(
            (int) settings.getMaximumConnections(), settings.getIdleTimeout(), clock);
  }

  /** Starts listening; fails when the address cannot be bound. */
  public Future<Void> start() {
    HostAndPort address = HostAndPort.fromString(settings.getAddress());
    vertx.setPeriodic(
        IDLE_CHECK_INTERVAL_IN_MILLISECONDS, timer -> limiter.closeExpired(clock.getAsLong()));
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

  /**
   * Closes each connection after its next response. Idle connections stay open until {@link
   * #close}, since a request may be on its way on each of them.
   */
  public void closeAfterResponses() {
    responseWriter.closeAfterResponses();
  }

  /** Refuses requests outside transactions whose body has not arrived whole. */
  public void refuseIncomplete() {
    bodyReader.refuseIncomplete(request -> !isTransactionStep(request), Refusal.STOPPING);
  }

  /** Refuses all requests whose body has not arrived whole. */
  public void refuseAllIncomplete() {
    bodyReader.refuseIncomplete(request -> true, Refusal.STOPPING);
  }

  /** Returns whether every request that has arrived was answered, and the answers were sent. */
  public boolean hasAnsweredAll() {
    return unanswered.isEmpty() && responseWriter.hasSentAll();
  }

  /** Answers all requests that have no answer yet; their outcome is unknown. */
  public void answerAll() {
    for (HttpServerRequest request : List.copyOf(unanswered)) {
      refuse(request, "-", "-", new RefusedException(Refusal.OUTCOME_UNKNOWN));
    }
  }

  /** Stops listening and closes all connections. */
  public Future<Void> close() {
    return server == null ? Future.succeededFuture() : server.close();
  }

  private void handle(HttpServerRequest request) {
    metrics.onStarted();
    unanswered.add(request);
    limiter.onRequest(request.connection());
    long arrivedAt = clock.getAsLong();
    request
        .response()
        .endHandler(
            ended -> {
              metrics.onEnded();
              unanswered.remove(request);
              limiter.onResponseEnd(request.connection());
            });
    request.response().exceptionHandler(cause -> {});
    bodyReader
        .read(request)
        .compose(body -> dispatch(request, body, arrivedAt))
        .onFailure(cause -> refuse(request, "-", "-", cause));
  }

  private Future<Void> dispatch(HttpServerRequest request, Buffer body, long arrivedAt) {
    try {
      checkStop(request);
      List<String> path = UrlPaths.segments(request.path());
      if (UrlPaths.matches(path, "v1", "routes", null, null)
          && request.method() == HttpMethod.GET) {
        return readPublicRoute(request, path.get(2), path.get(3), arrivedAt);
      }
      if (request.method() != HttpMethod.POST) {
        throw new RefusedException(Refusal.NOT_FOUND);
      }
      Principal principal = access.authenticate(RequestParser.apiKeyOf(request));
      if (UrlPaths.matches(path, "v1", "databases", null, "requests")) {
        CallerRequest parsed =
            parser.parse(request, principal, path.get(2), body, RequestKind.WRITE, arrivedAt);
        return respond(request, parsed, service.run(requireStatements(parsed)));
      }
      if (UrlPaths.matches(path, "v1", "databases", null, "transactions")) {
        CallerRequest parsed =
            parser.parse(request, principal, path.get(2), body, RequestKind.WRITE, arrivedAt);
        return respond(request, parsed, service.begin(parsed));
      }
      if (UrlPaths.matches(path, "v1", "transactions", null, null)) {
        return step(request, principal, path, body, arrivedAt);
      }
      throw new RefusedException(Refusal.NOT_FOUND);
    } catch (RefusedException e) {
      return Future.failedFuture(e);
    }
  }

  /** Refuses requests outside a transaction while this VM stops. */
  private void checkStop(HttpServerRequest request) throws RefusedException {
    Optional<Refusal> refusal =
        RequestStep.OUTSIDE_TRANSACTION.refusalIn(stop.phaseAt(clock.getAsLong()));
    if (refusal.isPresent() && !isTransactionStep(request)) {
      throw new RefusedException(refusal.get());
    }
  }

  private static CallerRequest requireStatements(CallerRequest request) throws RefusedException {
    if (request.statements().isEmpty()) {
      throw new RefusedException(Refusal.MALFORMED, "there is no statement");
    }
    return request;
  }

  private static boolean isTransactionStep(HttpServerRequest request) {
    return request.path() != null && request.path().startsWith("/v1/transactions/");
  }

  private Future<Void> step(
      HttpServerRequest request,
      Principal principal,
      List<String> path,
      Buffer body,
      long arrivedAt)
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
        parser.parse(
            request, principal, handle.get().database(), body, RequestKind.WRITE, arrivedAt);
    return respond(
        request, parsed, service.step(new TransactionRequest(handle.get(), step, parsed)));
  }

  private Future<Void> readPublicRoute(
      HttpServerRequest request, String name, String key, long arrivedAt) throws RefusedException {
    Route route = configuration.current().routes().get(name);
    if (route == null) {
      throw new RefusedException(Refusal.NOT_FOUND);
    }
    Optional<String> statement = route.readStatement(key);
    if (statement.isEmpty()) {
      throw new RefusedException(Refusal.MALFORMED, "the key must be one word");
    }
    CallerRequest parsed =
        parser.createRouteRead(
            request,
            new Principal(route.allowanceName(), ""),
            route.database(),
            statement.get(),
            route.maximumAge(),
            arrivedAt);
    return respond(request, parsed, service.run(parsed));
  }

  private Future<Void> respond(
      HttpServerRequest request, CallerRequest parsed, Future<CallerAnswer> result) {
    result
        .onSuccess(
            answer -> {
              metrics.onSucceeded(
                  parsed.principal().name(),
                  parsed.kind(),
                  answer.replica(),
                  clock.getAsLong() - parsed.arrivedAt());
              responseWriter.answer(request, parsed.id(), answer);
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
          "{0} request of {1} refused: code {2}, outcome {3}",
          request.method(),
          customer,
          refused.refusal().code(),
          refused.outcome().text());
    }
    responseWriter.refuse(request, id, refused, token);
  }

  private static RefusedException refusalOf(Throwable cause) {
    if (cause instanceof RequestFailure failure) {
      return failure.refused();
    }
    if (cause instanceof RefusedException refused) {
      return refused;
    }
    log.log(
        Level.ERROR, "request failed with an unexpected exception; its outcome is unknown", cause);
    return new RefusedException(Refusal.OUTCOME_UNKNOWN);
  }
}
