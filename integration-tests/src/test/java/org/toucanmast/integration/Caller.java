package org.toucanmast.integration;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.toucanmast.standin.fleet.Fleet;

/** HTTP client of the proxy that sends single requests and returns the complete answer. */
final class Caller {
  private static final Duration TIMEOUT = Duration.ofSeconds(30);

  /** One answer; has status 0 and an unknown outcome if the connection failed. */
  record Answer(int status, String session, JsonObject body) {
    String outcome() {
      return body.getString("outcome");
    }

    String row() {
      JsonArray rows = body.getJsonArray("rows");
      return rows.isEmpty() ? "" : rows.getString(0);
    }
  }

  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final String vm;
  private final String key;

  Caller(String vm, String key) {
    this.vm = vm;
    this.key = key;
  }

  static Caller of(String vm, String customer) {
    return new Caller(vm, Fleet.keyOf(customer));
  }

  Answer write(String database, String statement, String requestId) {
    return post("/v1/databases/" + database + "/requests", body("write", statement), requestId, "");
  }

  CompletableFuture<Answer> writeAsync(String database, String statement, String requestId) {
    return CompletableFuture.supplyAsync(() -> write(database, statement, requestId));
  }

  Answer read(String database, String statement, String session) {
    return post("/v1/databases/" + database + "/requests", body("read", statement), "", session);
  }

  Answer begin(String database) {
    return post("/v1/databases/" + database + "/transactions", new JsonObject(), "", "");
  }

  Answer step(String transaction, String step, String... statements) {
    JsonArray statementArray = new JsonArray();
    for (String statement : statements) {
      statementArray.add(statement);
    }
    return post(
        "/v1/transactions/" + transaction + "/" + step,
        new JsonObject().put("statements", statementArray),
        "",
        "");
  }

  private static JsonObject body(String kind, String statement) {
    return new JsonObject().put("kind", kind).put("statements", new JsonArray().add(statement));
  }

  Answer post(String path, JsonObject body, String requestId, String session) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + vm + path))
            .timeout(TIMEOUT)
            .POST(HttpRequest.BodyPublishers.ofString(body.encode()));
    if (!key.isEmpty()) {
      request.header("Authorization", "Bearer " + key);
    }
    if (!requestId.isEmpty()) {
      request.header("Request-Id", requestId);
    }
    if (!session.isEmpty()) {
      request.header("Session-Token", session);
    }
    return send(request.build());
  }

  Answer get(String path) {
    return send(HttpRequest.newBuilder(URI.create("http://" + vm + path)).timeout(TIMEOUT).build());
  }

  private Answer send(HttpRequest request) {
    try {
      HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
      return new Answer(
          response.statusCode(),
          response.headers().firstValue("Session-Token").orElse(""),
          new JsonObject(response.body()));
    } catch (IOException e) {
      return new Answer(
          0, "", new JsonObject().put("outcome", "unknown").put("rows", new JsonArray()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException(e);
    }
  }
}
