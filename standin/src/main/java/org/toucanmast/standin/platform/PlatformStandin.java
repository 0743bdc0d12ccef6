package org.toucanmast.standin.platform;

import com.google.common.net.HostAndPort;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.Optional;
import org.toucanmast.standin.platform.ObjectStore.Stored;

/**
 * The stand-in platform.
 *
 * <p>Paths: {@code /objects/KIND/NAME} to read, watch ({@code after}, {@code wait}) and change
 * ({@code expected}); {@code /vms} for the list of VMs; {@code /control/...} for experiments:
 * {@code PUT /control/fault}, {@code PUT /control/vms}, {@code GET /control/calls}.
 */
public final class PlatformStandin extends VerticleBase {
  private static final int MAXIMUM_VALUE_IN_BYTES = 1_048_576;

  private final HostAndPort address;
  private final long listLagInMilliseconds;
  private final ObjectStore store = new ObjectStore();
  private JsonArray vms = new JsonArray();
  private PlatformFault fault = PlatformFault.NONE;
  private long delayInMilliseconds;
  private long calls;
  private long writes;

  /**
   * Creates the stand-in.
   *
   * @param listLagInMilliseconds how late the list of VMs shows a change
   */
  public PlatformStandin(String address, long listLagInMilliseconds) {
    this.address = HostAndPort.fromString(address);
    this.listLagInMilliseconds = listLagInMilliseconds;
  }

  @Override
  public Future<?> start() {
    return vertx
        .createHttpServer()
        .requestHandler(this::handle)
        .listen(address.getPort(), address.getHost());
  }

  private void handle(HttpServerRequest request) {
    request.response().exceptionHandler(cause -> {});
    request
        .body()
        .onSuccess(
            body -> {
              if (request.path().startsWith("/control/")) {
                control(request, body);
              } else {
                meetFault(request, body);
              }
            });
  }

  private void meetFault(HttpServerRequest request, Buffer body) {
    calls++;
    switch (fault) {
      case DOWN -> request.connection().close();
      case SILENT -> {}
      case SLOW ->
          vertx.setTimer(Math.max(1, delayInMilliseconds), late -> serve(request, body, true));
      case LOST_ANSWERS -> serve(request, body, request.method() != HttpMethod.PUT);
      default -> serve(request, body, true);
    }
  }

  private void serve(HttpServerRequest request, Buffer body, boolean answers) {
    if (request.path().equals("/vms")) {
      answer(request, 200, new JsonObject().put("vms", vms));
    } else if (!request.path().startsWith("/objects/")) {
      answer(request, 404, new JsonObject());
    } else if (request.method() == HttpMethod.PUT) {
      update(request, body, answers);
    } else {
      readOrWatch(request);
    }
  }

  private void update(HttpServerRequest request, Buffer body, boolean answers) {
    writes++;
    if (body.length() > MAXIMUM_VALUE_IN_BYTES) {
      answer(request, 413, new JsonObject().put("message", "larger than a megabyte"));
      return;
    }
    try {
      long expected = Long.parseLong(request.getParam("expected"));
      Optional<Long> version = store.update(request.path(), expected, body.toJsonObject());
      if (!answers) {
        return;
      }
      answer(
          request,
          version.isPresent() ? 200 : 409,
          new JsonObject().put("version", version.orElse(-1L)));
    } catch (NumberFormatException | DecodeException e) {
      answer(request, 400, new JsonObject().put("message", String.valueOf(e.getMessage())));
    }
  }

  private void readOrWatch(HttpServerRequest request) {
    long after = Long.parseLong(request.getParam("after", "-1"));
    long wait = Long.parseLong(request.getParam("wait", "0"));
    Optional<Stored> stored = store.read(request.path());
    long version = stored.map(Stored::version).orElse(0L);
    if (version > after && stored.isPresent()) {
      answerObject(request, stored.get());
    } else if (after < 0 || wait == 0) {
      answer(request, stored.isEmpty() ? 404 : 304, new JsonObject());
    } else {
      watch(request, wait);
    }
  }

  private void watch(HttpServerRequest request, long wait) {
    Runnable[] cancel = new Runnable[1];
    long timer =
        vertx.setTimer(
            wait,
            late -> {
              cancel[0].run();
              answer(request, 304, null);
            });
    cancel[0] =
        store.watch(
            request.path(),
            () -> {
              if (vertx.cancelTimer(timer)) {
                answerObject(request, store.read(request.path()).orElseThrow());
              }
            });
  }

  private void answerObject(HttpServerRequest request, Stored stored) {
    answer(
        request,
        200,
        new JsonObject().put("version", stored.version()).put("value", stored.value()));
  }

  private static void answer(HttpServerRequest request, int status, JsonObject json) {
    if (request.response().closed()) {
      return;
    }
    request.response().setStatusCode(status);
    if (json == null || status == 304) {
      request.response().end();
    } else {
      request.response().end(json.toBuffer());
    }
  }

  private void control(HttpServerRequest request, Buffer body) {
    switch (request.path()) {
      case "/control/fault" -> {
        JsonObject order = body.toJsonObject();
        fault = PlatformFault.valueOf(order.getString("fault"));
        delayInMilliseconds = order.getLong("delayMilliseconds", 0L);
        answer(request, 200, new JsonObject());
      }
      case "/control/vms" -> {
        JsonArray changed = body.toJsonArray();
        vertx.setTimer(Math.max(1, listLagInMilliseconds), late -> vms = changed);
        answer(request, 200, new JsonObject());
      }
      case "/control/calls" ->
          answer(request, 200, new JsonObject().put("calls", calls).put("writes", writes));
      default -> answer(request, 404, new JsonObject());
    }
  }
}
