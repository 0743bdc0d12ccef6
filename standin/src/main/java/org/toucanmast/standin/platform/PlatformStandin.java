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
import org.toucanmast.standin.platform.ObjectStore.VersionedObject;

/**
 * The stand-in of the platform: an HTTP server with an object store and a list of VMs.
 *
 * <p>Paths: {@code /objects/KIND/NAME} reads an object, watches it (with the query parameters
 * {@code after}, a version, and {@code wait}, in milliseconds) or updates it if it has the version
 * {@code expected}; {@code /vms} lists the VMs. For experiments, {@code PUT /control/fault} sets
 * the fault, {@code PUT /control/vms} the list of VMs, {@code PUT /control/copy} takes a copy of
 * the store, {@code PUT /control/restore} goes back to it, and {@code GET /control/calls} returns
 * the numbers of calls and writes.
 */
public final class PlatformStandin extends VerticleBase {
  private static final int MAXIMUM_VALUE_SIZE_IN_BYTES = 1_048_576;

  private final HostAndPort address;
  private final long listLagInMilliseconds;
  private final ObjectStore store = new ObjectStore();
  private Runnable copy = () -> {};
  private JsonArray vms = new JsonArray();
  private PlatformFault fault = PlatformFault.NONE;
  private long delayInMilliseconds;
  private long calls;
  private long writes;

  /**
   * Creates the stand-in.
   *
   * @param address the address to listen on
   * @param listLagInMilliseconds the delay after which the list of VMs shows a change
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
    request.response().exceptionHandler(ignored -> {});
    request
        .body()
        .onSuccess(
            body -> {
              if (request.path().startsWith("/control/")) {
                handleControl(request, body);
              } else {
                applyFault(request, body);
              }
            });
  }

  private void applyFault(HttpServerRequest request, Buffer body) {
    calls++;
    switch (fault) {
      case DOWN -> request.connection().close();
      case SILENT -> {}
      case SLOW ->
          vertx.setTimer(Math.max(1, delayInMilliseconds), timerId -> serve(request, body, true));
      case LOST_ANSWERS -> serve(request, body, request.method() != HttpMethod.PUT);
      default -> serve(request, body, true);
    }
  }

  private void serve(HttpServerRequest request, Buffer body, boolean sendsAnswer) {
    if (request.path().equals("/vms")) {
      answer(request, 200, new JsonObject().put("vms", vms));
    } else if (!request.path().startsWith("/objects/")) {
      answer(request, 404, new JsonObject());
    } else if (request.method() == HttpMethod.PUT) {
      update(request, body, sendsAnswer);
    } else {
      readOrWatch(request);
    }
  }

  private void update(HttpServerRequest request, Buffer body, boolean sendsAnswer) {
    writes++;
    if (body.length() > MAXIMUM_VALUE_SIZE_IN_BYTES) {
      answer(request, 413, new JsonObject().put("message", "larger than a megabyte"));
      return;
    }
    try {
      long expected = Long.parseLong(request.getParam("expected"));
      Optional<Long> version = store.update(request.path(), expected, body.toJsonObject());
      if (!sendsAnswer) {
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
    Optional<VersionedObject> stored = store.read(request.path());
    long version = stored.map(VersionedObject::version).orElse(0L);
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
            timerId -> {
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

  private void answerObject(HttpServerRequest request, VersionedObject stored) {
    answer(
        request,
        200,
        new JsonObject().put("version", stored.version()).put("value", stored.value()));
  }

  private void answer(HttpServerRequest request, int status, JsonObject json) {
    if (request.response().closed()) {
      return;
    }
    request.response().setStatusCode(status).putHeader("Platform-Era", String.valueOf(store.era()));
    if (json == null || status == 304) {
      request.response().end();
    } else {
      request.response().end(json.toBuffer());
    }
  }

  private void handleControl(HttpServerRequest request, Buffer body) {
    switch (request.path()) {
      case "/control/fault" -> {
        JsonObject values = body.toJsonObject();
        fault = PlatformFault.valueOf(values.getString("fault"));
        delayInMilliseconds = values.getLong("delayMilliseconds", 0L);
        answer(request, 200, new JsonObject());
      }
      case "/control/vms" -> {
        JsonArray newVms = body.toJsonArray();
        vertx.setTimer(Math.max(1, listLagInMilliseconds), timerId -> vms = newVms);
        answer(request, 200, new JsonObject());
      }
      case "/control/copy" -> {
        copy = store.copy();
        answer(request, 200, new JsonObject());
      }
      case "/control/restore" -> {
        copy.run();
        answer(request, 200, new JsonObject());
      }
      case "/control/calls" ->
          answer(request, 200, new JsonObject().put("calls", calls).put("writes", writes));
      default -> answer(request, 404, new JsonObject());
    }
  }
}
