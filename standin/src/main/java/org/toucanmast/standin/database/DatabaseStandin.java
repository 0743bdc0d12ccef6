package org.toucanmast.standin.database;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in database group.
 *
 * <p>The control listener takes {@code GET /endpoints}, {@code GET /endpoints/NAME} and {@code PUT
 * /endpoints/NAME} with {@code crashed}, {@code frozen}, {@code cutFromGroup}, {@code blockedVms},
 * {@code loseAnswers}, {@code lagMilliseconds} and {@code serviceMicroseconds}.
 */
public final class DatabaseStandin extends VerticleBase {
  private static final long REPLICATION_INTERVAL_IN_MILLISECONDS = 1;
  private static final String ENDPOINTS = "/endpoints/";

  private final HostAndPort controlAddress;
  private final Map<String, String> addresses;
  private final EndpointSettings settings;
  private final Map<String, EndpointServer> servers = new LinkedHashMap<>();

  /**
   * Creates a group whose first endpoint is the primary of term 1.
   *
   * @param addresses address by name of each endpoint
   */
  public DatabaseStandin(
      String controlAddress, Map<String, String> addresses, EndpointSettings settings) {
    this.controlAddress = HostAndPort.fromString(controlAddress);
    this.addresses = new LinkedHashMap<>(addresses);
    this.settings = settings;
  }

  @Override
  public Future<?> start() {
    List<Future<?>> started = new ArrayList<>();
    addresses.forEach(
        (name, address) -> {
          EndpointServer server =
              new EndpointServer(vertx, address, new EndpointStandin(vertx, name, settings));
          servers.put(name, server);
          started.add(server.start());
        });
    servers.values().iterator().next().endpoint().becomeFirstPrimary();
    vertx.setPeriodic(REPLICATION_INTERVAL_IN_MILLISECONDS, timer -> replicate());
    started.add(
        vertx
            .createHttpServer()
            .requestHandler(this::control)
            .listen(controlAddress.getPort(), controlAddress.getHost()));
    return Future.all(started);
  }

  private void replicate() {
    long now = System.currentTimeMillis();
    for (EndpointServer follower : servers.values()) {
      if (isReachable(follower)) {
        servers.values().stream()
            .filter(source -> source != follower && isReachable(source))
            .map(EndpointServer::endpoint)
            .filter(source -> leads(source, follower.endpoint()))
            .max((left, right) -> Long.compare(left.term(), right.term()))
            .ifPresent(source -> follower.endpoint().follow(source, now));
      }
    }
  }

  /** A primary leads those of its own or a lower term; a stopped one still those of its last. */
  private static boolean leads(EndpointStandin source, EndpointStandin follower) {
    boolean leadsNow = source.ledTerm(source.term()) && source.term() >= follower.term();
    return leadsNow || (source.ledTerm(follower.term()) && !follower.ledTerm(follower.term()));
  }

  private static boolean isReachable(EndpointServer server) {
    EndpointFaults faults = server.endpoint().faults();
    return !faults.crashed() && !faults.frozen() && !faults.cutFromGroup();
  }

  private void control(HttpServerRequest request) {
    request.body().onSuccess(body -> control(request, body));
  }

  private void control(HttpServerRequest request, Buffer body) {
    if (request.path().equals("/endpoints")) {
      JsonArray all = new JsonArray();
      servers.values().forEach(server -> all.add(server.describe()));
      request.response().end(all.toBuffer());
      return;
    }
    String name =
        request.path().startsWith(ENDPOINTS) ? request.path().substring(ENDPOINTS.length()) : "";
    EndpointServer server = servers.get(name);
    if (server == null) {
      request.response().setStatusCode(404).end();
      return;
    }
    if (body.length() > 0) {
      change(server, body.toJsonObject());
    }
    request.response().end(server.describe().toBuffer());
  }

  private static void change(EndpointServer server, JsonObject order) {
    EndpointStandin endpoint = server.endpoint();
    if (order.containsKey("lagMilliseconds")) {
      endpoint.setSettings(endpoint.settings().withLag(order.getLong("lagMilliseconds")));
    }
    if (order.containsKey("serviceMicroseconds")) {
      endpoint.setSettings(endpoint.settings().withService(order.getLong("serviceMicroseconds")));
    }
    server.setFaults(EndpointFaults.ofJson(order));
  }
}
