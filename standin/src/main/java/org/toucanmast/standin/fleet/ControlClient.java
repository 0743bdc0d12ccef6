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

/**
 * Blocking HTTP client for the control listeners of the stand-ins and the admin listeners of VMs.
 *
 * <p>A call other than {@link #isReady} fails with an {@link IOException} when connecting or
 * answering takes longer than 5 s, and when the status is not 200.
 */
public final class ControlClient {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final int OK = 200;
  private final HttpClient client =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  /**
   * Sets the fault of the platform.
   *
   * @param delayMilliseconds the delay of each call under {@link PlatformFault#SLOW}
   */
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

  /** Takes a copy of the platform's objects, to which it can be restored. */
  public void copy(String platform) throws IOException {
    put(platform, "/control/copy", "{}");
  }

  /** Restores the platform from the last copy; it then begins a new era. */
  public void restore(String platform) throws IOException {
    put(platform, "/control/restore", "{}");
  }

  /** Replaces the platform's list of VMs; the platform shows the new list after its list lag. */
  public void setVms(String platform, JsonArray vms) throws IOException {
    put(platform, "/control/vms", vms.encode());
  }

  /** Returns the number of calls, and of writes among them, that the platform has received. */
  public JsonObject platformCalls(String platform) throws IOException {
    return new JsonObject(get(platform, "/control/calls"));
  }

  /**
   * Changes the faults and settings of an endpoint, and returns its description.
   *
   * @param group the control address of the database group
   * @param change the new values; a fault that it does not name is cleared, a setting is kept
   */
  public JsonObject setEndpoint(String group, String endpoint, JsonObject change)
      throws IOException {
    return new JsonObject(put(group, "/endpoints/" + endpoint, change.encode()));
  }

  /** Returns the description of an endpoint: counters, status and log. */
  public JsonObject endpoint(String group, String endpoint) throws IOException {
    return new JsonObject(get(group, "/endpoints/" + endpoint));
  }

  /** Returns the descriptions of all endpoints of a group. */
  public JsonArray endpoints(String group) throws IOException {
    return new JsonArray(get(group, "/endpoints"));
  }

  /** Returns the status document of a VM. */
  public JsonObject status(String admin) throws IOException {
    return new JsonObject(get(admin, "/status"));
  }

  /** Returns the metrics of a VM as text. */
  public String metrics(String admin) throws IOException {
    return get(admin, "/metrics");
  }

  /** Returns whether a VM reports that it is ready for callers; false if it does not answer. */
  public boolean isReady(String admin) {
    try {
      HttpRequest request = request(admin, "/ready").build();
      return send(request).statusCode() == OK;
    } catch (IOException e) {
      return false;
    }
  }

  private String get(String address, String path) throws IOException {
    return bodyOf(request(address, path).build());
  }

  private String put(String address, String path, String body) throws IOException {
    return bodyOf(request(address, path).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
  }

  private static HttpRequest.Builder request(String address, String path) {
    return HttpRequest.newBuilder(URI.create("http://" + address + path)).timeout(TIMEOUT);
  }

  private String bodyOf(HttpRequest request) throws IOException {
    HttpResponse<String> response = send(request);
    if (response.statusCode() != OK) {
      throw new IOException(request.uri() + " answered with status " + response.statusCode());
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
