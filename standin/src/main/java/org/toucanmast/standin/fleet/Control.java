package org.toucanmast.standin.fleet;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.toucanmast.standin.platform.PlatformFault;

/** Blocking calls to the control listeners of the stand-ins and to VMs' admin listeners. */
public final class Control {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int OK = 200;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /** Sets what is wrong with the platform. */
  public void setFault(String platform, PlatformFault fault, long delayMilliseconds)
      throws IOException {
    put(
        platform,
        "/control/fault",
        new JsonObject()
            .put("fault", fault.name())
            .put("delayMilliseconds", delayMilliseconds)
            .encode());
  }

  /** Sets the platform's list of VMs; it shows the change after its lag. */
  public void setVms(String platform, JsonArray vms) throws IOException {
    put(platform, "/control/vms", vms.encode());
  }

  /** Returns how many calls the platform has had. */
  public JsonObject platformCalls(String platform) throws IOException {
    return new JsonObject(get(platform, "/control/calls"));
  }

  /** Changes an endpoint; what the order does not name becomes healthy. */
  public JsonObject setEndpoint(String group, String endpoint, JsonObject order)
      throws IOException {
    return new JsonObject(put(group, "/endpoints/" + endpoint, order.encode()));
  }

  /** Returns what an endpoint did and holds. */
  public JsonObject endpoint(String group, String endpoint) throws IOException {
    return new JsonObject(get(group, "/endpoints/" + endpoint));
  }

  /** Returns what all endpoints of a group did and hold. */
  public JsonArray endpoints(String group) throws IOException {
    return new JsonArray(get(group, "/endpoints"));
  }

  /** Returns what a VM knows. */
  public JsonObject status(String admin) throws IOException {
    return new JsonObject(get(admin, "/status"));
  }

  /** Returns a VM's metrics as text. */
  public String metrics(String admin) throws IOException {
    return get(admin, "/metrics");
  }

  /** Tells whether a VM is ready for callers. */
  public boolean isReady(String admin) {
    try {
      HttpRequest request = request(admin, "/ready").build();
      return send(request).statusCode() == OK;
    } catch (IOException e) {
      return false;
    }
  }

  private String get(String address, String path) throws IOException {
    return body(request(address, path).build());
  }

  private String put(String address, String path, String body) throws IOException {
    return body(request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
  }

  private String body(HttpRequest request) throws IOException {
    HttpResponse<String> response = send(request);
    if (response.statusCode() != OK) {
      throw new IOException(request.uri() + " answered " + response.statusCode());
    }
    return response.body();
  }

  private HttpResponse<String> send(HttpRequest request) throws IOException {
    try {
      return client.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted", e);
    }
  }
}
