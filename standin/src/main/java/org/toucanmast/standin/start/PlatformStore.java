package org.toucanmast.standin.start;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An object store with the platform's HTTP interface, limited to what a VM uses at its start:
 * listings, single objects and conditional writes. A watch ends without a change after its time.
 */
final class PlatformStore {
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int KIND_INDEX = 2;
  private static final int NAME_INDEX = 3;

  private final Vertx vertx;
  private final Map<String, Map<String, JsonObject>> objectsByKind = new ConcurrentHashMap<>();
  private long revision = 1;

  PlatformStore(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Starts the server on a free port of the loopback interface; the result is the port. */
  Future<Integer> start() {
    return vertx
        .createHttpServer()
        .requestHandler(request -> request.body().onSuccess(body -> handle(request, body)))
        .listen(0, "127.0.0.1")
        .map(HttpServer::actualPort);
  }

  /** Writes an object unconditionally. */
  synchronized JsonObject put(String kind, String name, JsonObject spec) {
    revision++;
    JsonObject meta = new JsonObject().put("name", name).put("revision", revision);
    JsonObject object = new JsonObject().put("meta", meta).put("spec", spec);
    objectsByKind.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
    return object;
  }

  private synchronized void handle(HttpServerRequest request, Buffer body) {
    String[] parts = request.path().split("/");
    String kind = parts[KIND_INDEX];
    Map<String, JsonObject> objects = objectsByKind.computeIfAbsent(kind, key -> new TreeMap<>());
    if (request.getParam("watch") != null) {
      vertx.setTimer(
          Long.parseLong(request.getParam("wait_ms")),
          fired -> answer(request, OK, new JsonObject().put("events", new JsonArray())));
    } else if (request.method() == HttpMethod.POST || request.method() == HttpMethod.PUT) {
      JsonObject object = body.toJsonObject();
      String name = object.getJsonObject("meta").getString("name");
      answer(request, OK, put(kind, name, object.getJsonObject("spec")));
    } else if (parts.length > NAME_INDEX) {
      JsonObject object =
          request.method() == HttpMethod.DELETE
              ? objects.remove(parts[NAME_INDEX])
              : objects.get(parts[NAME_INDEX]);
      answer(request, object == null ? NOT_FOUND : OK, object == null ? new JsonObject() : object);
    } else {
      JsonArray items = new JsonArray();
      objects.values().forEach(items::add);
      answer(
          request,
          OK,
          new JsonObject().put("items", items).put("more", false).put("at_rev", revision));
    }
  }

  private static void answer(HttpServerRequest request, int status, JsonObject body) {
    if (!request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "application/json")
          .putHeader("Store-Era", "1")
          .end(body.encode());
    }
  }
}
