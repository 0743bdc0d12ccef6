package org.toucanmast.standin.database;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** The HTTP listener of one stand-in endpoint; it limits connections and injects the faults. */
final class EndpointServer {
  /** Headers with callers' credentials, which the proxy must not forward to an endpoint. */
  private static final List<String> CREDENTIAL_HEADERS =
      List.of("authorization", "x-customer-key", "cookie");

  private final Vertx vertx;
  private final HostAndPort address;
  private final EndpointStandin endpoint;
  private final Set<HttpConnection> connections = new HashSet<>();

  /** The connections on which a call was accepted; their number is limited. */
  private final Set<HttpConnection> requestConnections = new HashSet<>();

  private final Deque<Runnable> withheldActions = new ArrayDeque<>();
  private int maximumConnections;
  private int refusedConnections;
  private int leakedKeys;
  private long calls;

  EndpointServer(Vertx vertx, String address, EndpointStandin endpoint) {
    this.vertx = vertx;
    this.address = HostAndPort.fromString(address);
    this.endpoint = endpoint;
  }

  EndpointStandin endpoint() {
    return endpoint;
  }

  Future<?> start() {
    return vertx
        .createHttpServer()
        .connectionHandler(this::onOpen)
        .requestHandler(this::handle)
        .listen(address.getPort(), address.getHost());
  }

  private void onOpen(HttpConnection connection) {
    if (endpoint.faults().crashed()) {
      connection.close();
      return;
    }
    connections.add(connection);
    connection.closeHandler(
        closed -> {
          connections.remove(connection);
          requestConnections.remove(connection);
          endpoint.onClosed(connection);
        });
  }

  /**
   * Replaces the faults of the endpoint. A crash discards the withheld requests and closes all
   * connections; the end of a freeze processes the withheld requests in their order of arrival.
   */
  void setFaults(EndpointFaults faults) {
    endpoint.setFaults(faults);
    if (faults.crashed()) {
      withheldActions.clear();
      new ArrayList<>(connections).forEach(HttpConnection::close);
    }
    while (!endpoint.faults().frozen() && !withheldActions.isEmpty()) {
      withheldActions.pollFirst().run();
    }
  }

  private void handle(HttpServerRequest request) {
    request.response().exceptionHandler(ignored -> {});
    for (String header : CREDENTIAL_HEADERS) {
      if (request.headers().contains(header)) {
        leakedKeys++;
      }
    }
    request.body().onSuccess(body -> applyFault(request, body));
  }

  private void applyFault(HttpServerRequest request, Buffer body) {
    String vm = request.getHeader("Vm-Name");
    if (vm != null && endpoint.faults().blockedVms().contains(vm)) {
      return;
    }
    if (endpoint.faults().frozen()) {
      withheldActions.addLast(() -> serve(request, body));
    } else {
      serve(request, body);
    }
  }

  private void serve(HttpServerRequest request, Buffer body) {
    JsonObject json = body.toJsonObject();
    switch (request.path()) {
      case "/status" -> answer(request, new JsonObject().put("status", endpoint.status()));
      case "/fence" ->
          answer(request, endpoint.fence(json.getLong("term"), json.getString("orderer")));
      case "/promote" -> {
        JsonObject result = endpoint.promote(json.getLong("term"), json.getString("orderer"));
        if (endpoint.faults().losePromotionAnswers()) {
          request.connection().close();
        } else {
          answer(request, result);
        }
      }
      case "/call" -> call(request, json);
      default -> request.response().setStatusCode(404).end();
    }
  }

  private void call(HttpServerRequest request, JsonObject json) {
    calls++;
    HttpConnection connection = request.connection();
    if (!connections.contains(connection)) {
      return;
    }
    if (!requestConnections.contains(connection)) {
      if (requestConnections.size() >= endpoint.settings().connections()) {
        refusedConnections++;
        connection.close();
        return;
      }
      requestConnections.add(connection);
      maximumConnections = Math.max(maximumConnections, requestConnections.size());
      long delay = endpoint.settings().connectMilliseconds();
      if (delay > 0) {
        vertx.setTimer(delay, timerId -> run(request, connection, json));
        return;
      }
    }
    run(request, connection, json);
  }

  private void run(HttpServerRequest request, HttpConnection connection, JsonObject json) {
    endpoint.call(
        connection,
        json,
        result -> {
          if (endpoint.faults().loseAnswers() || endpoint.faults().crashed()) {
            connection.close();
          } else if (endpoint.faults().frozen()) {
            withheldActions.addLast(() -> answer(request, result));
          } else {
            answer(request, result);
          }
        });
  }

  private static void answer(HttpServerRequest request, JsonObject json) {
    if (!request.response().closed()) {
      request.response().end(json.toBuffer());
    }
  }

  /** Returns the description of the endpoint and the counters of its listener, for checks. */
  JsonObject describe() {
    return endpoint
        .describe()
        .put("connections", requestConnections.size())
        .put("maximumConnections", maximumConnections)
        .put("refusedConnections", refusedConnections)
        .put("leakedKeys", leakedKeys)
        .put("calls", calls);
  }
}
