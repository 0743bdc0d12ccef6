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
 * The stand-in of a database group: the listeners of its endpoints, the replication between them
 * and a control listener.
 *
 * <p>The control listener serves {@code GET /endpoints}, {@code GET /endpoints/NAME} and {@code PUT
 * /endpoints/NAME} with {@code crashed}, {@code frozen}, {@code cutFromGroup}, {@code blockedVms},
 * {@code loseAnswers}, {@code losePromotionAnswers}, {@code lagMilliseconds} and {@code
 * serviceMicroseconds}. {@code PUT} clears the faults that it does not name and keeps the settings.
 */
public final class DatabaseStandin extends VerticleBase {
  private static final long REPLICATION_INTERVAL_IN_MILLISECONDS = 1;
  private static final String ENDPOINT_PATH_PREFIX = "/endpoints/";

  private final HostAndPort controlAddress;
  private final Map<String, String> addresses;
  private final EndpointSettings settings;
  private final Map<String, EndpointServer> servers = new LinkedHashMap<>();

  /**
   * Creates a group whose first endpoint is the primary of term 1.
   *
   * @param controlAddress the address of the control listener
   * @param addresses the addresses of the endpoints, by name; not empty
   * @param settings the initial settings of all endpoints
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
            .requestHandler(this::handle)
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
            .filter(source -> isSource(source, follower.endpoint()))
            .max((left, right) -> Long.compare(left.term(), right.term()))
            .ifPresent(source -> follower.endpoint().replicateFrom(source, now));
      }
    }
  }

  /**
   * Returns whether an endpoint replicates the log of a source.
   *
   * <p>A primary replicates to the endpoints of its own and of lower terms. An endpoint that has
   * granted a higher term, and so is no longer primary, still replicates to the endpoints that
   * remain in the last term in which it was primary.
   */
  private static boolean isSource(EndpointStandin source, EndpointStandin follower) {
    boolean isPrimary = source.wasPrimaryInTerm(source.term()) && source.term() >= follower.term();
    return isPrimary
        || (source.wasPrimaryInTerm(follower.term())
            && !follower.wasPrimaryInTerm(follower.term()));
  }

  private static boolean isReachable(EndpointServer server) {
    EndpointFaults faults = server.endpoint().faults();
    return !faults.crashed() && !faults.frozen() && !faults.cutFromGroup();
  }

  private void handle(HttpServerRequest request) {
    request.body().onSuccess(body -> handle(request, body));
  }

  private void handle(HttpServerRequest request, Buffer body) {
    if (request.path().equals("/endpoints")) {
      JsonArray descriptions = new JsonArray();
      servers.values().forEach(server -> descriptions.add(server.describe()));
      request.response().end(descriptions.toBuffer());
      return;
    }
    String name =
        request.path().startsWith(ENDPOINT_PATH_PREFIX)
            ? request.path().substring(ENDPOINT_PATH_PREFIX.length())
            : "";
    EndpointServer server = servers.get(name);
    if (server == null) {
      request.response().setStatusCode(404).end();
      return;
    }
    if (body.length() > 0) {
      applyChange(server, body.toJsonObject());
    }
    request.response().end(server.describe().toBuffer());
  }

  private static void applyChange(EndpointServer server, JsonObject values) {
    EndpointStandin endpoint = server.endpoint();
    if (values.containsKey("lagMilliseconds")) {
      endpoint.setSettings(endpoint.settings().withLag(values.getLong("lagMilliseconds")));
    }
    if (values.containsKey("serviceMicroseconds")) {
      endpoint.setSettings(
          endpoint.settings().withServiceTime(values.getLong("serviceMicroseconds")));
    }
    server.setFaults(EndpointFaults.ofJson(values));
  }
}
