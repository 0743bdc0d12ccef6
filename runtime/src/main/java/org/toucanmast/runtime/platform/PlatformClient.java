package org.toucanmast.runtime.platform;

import com.google.common.escape.Escaper;
import com.google.common.net.HostAndPort;
import com.google.common.net.UrlEscapers;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.LongAdder;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.runtime.platform.PlatformException.Kind;
import org.toucanmast.runtime.platform.PlatformVms.ListedVm;
import org.toucanmast.runtime.port.EntryFields;
import org.toucanmast.runtime.port.InvalidEntryException;

/**
 * HTTP client for the platform's object service.
 *
 * <p>Example: {@code client.read("configuration", "main")}. Each call has a timeout and is not
 * retried; failed futures carry a {@link PlatformException}.
 *
 * <p>A platform that was restored from a copy gives versions out again and reports a higher era.
 * The versions of this client are numbers of {@link StorePosition}s, so that later ones are higher
 * all the same.
 */
public final class PlatformClient {
  private static final Escaper SEGMENT_ESCAPER = UrlEscapers.urlPathSegmentEscaper();

  /** Header of the platform's answers with its era; a platform without eras leaves it out. */
  private static final String ERA_HEADER = "Platform-Era";

  private static final int OK = 200;
  private static final int NOT_MODIFIED = 304;
  private static final int NOT_FOUND = 404;
  private static final int CONFLICT = 409;
  private static final int MAXIMUM_CONNECTIONS = 4;

  private static final Logger log = System.getLogger(PlatformClient.class.getName());

  private final HttpClientAgent client;
  private final HostAndPort address;
  private final long timeoutInMilliseconds;
  private volatile long lastEra;
  private volatile List<String> lastInvalidVms = List.of();
  private final LongAdder calls = new LongAdder();
  private final LongAdder failures = new LongAdder();

  /**
   * Creates a client.
   *
   * @param address IP address and port of the service
   * @param timeoutInMilliseconds the time after which a call fails with {@link Kind#NO_ANSWER}
   */
  public PlatformClient(Vertx vertx, String address, long timeoutInMilliseconds) {
    this.address = HostAndPort.fromString(address);
    this.timeoutInMilliseconds = timeoutInMilliseconds;
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) timeoutInMilliseconds)
                .setKeepAliveTimeout(60),
            new PoolOptions().setHttp1MaxSize(MAXIMUM_CONNECTIONS));
  }

  /** Reads an object; fails with {@link Kind#MISSING} when it does not exist. */
  public Future<PlatformObject> read(String kind, String name) {
    return call(HttpMethod.GET, path(kind, name), null, timeoutInMilliseconds)
        .compose(answer -> toObject(kind, name, answer));
  }

  /**
   * Waits until an object has a higher version than the given one.
   *
   * @param waitInMilliseconds how long the platform may wait before it answers
   * @return the object; with the given version and an empty value when it has not changed in time
   */
  public Future<PlatformObject> watch(
      String kind, String name, long version, long waitInMilliseconds) {
    StorePosition known = StorePosition.ofNumber(version);
    if (known.era() < lastEra) {
      return read(kind, name);
    }
    String uri = path(kind, name) + "?after=" + known.revision() + "&wait=" + waitInMilliseconds;
    return call(HttpMethod.GET, uri, null, waitInMilliseconds + timeoutInMilliseconds)
        .compose(
            answer -> {
              if (known.era() < answer.era() && version > 0) {
                // The restored platform compared the version with one of its own era.
                return read(kind, name);
              }
              return answer.status() == NOT_MODIFIED
                  ? Future.succeededFuture(new PlatformObject(version, ""))
                  : toObject(kind, name, answer);
            });
  }

  /**
   * Updates an object if it still has the expected version; version 0 creates the object.
   *
   * @return the new version; fails with {@link Kind#CONFLICT} when the object has another version,
   *     and with {@link Kind#NO_ANSWER} when it is not known whether the update took effect
   */
  public Future<Long> update(String kind, String name, long expectedVersion, String value) {
    StorePosition expected = StorePosition.ofNumber(expectedVersion);
    if (expectedVersion > 0 && expected.era() < lastEra) {
      return fail(
          Kind.CONFLICT,
          kind + "/" + name + " was read before the platform was restored from a copy");
    }
    String uri = path(kind, name) + "?expected=" + expected.revision();
    return call(HttpMethod.PUT, uri, value, timeoutInMilliseconds)
        .compose(
            answer ->
                expectedVersion > 0 && answer.era() != expected.era()
                    ? fail(
                        Kind.NO_ANSWER,
                        "the platform was restored while " + kind + "/" + name + " was edited")
                    : toVersion(kind, name, answer));
  }

  /** Reads the platform's list of VMs. */
  public Future<PlatformVms> listVms() {
    return call(HttpMethod.GET, "/vms", null, timeoutInMilliseconds).compose(this::toVms);
  }

  /** Returns the number of calls made. */
  public long calls() {
    return calls.sum();
  }

  /** Returns the number of calls that got no answer. */
  public long failures() {
    return failures.sum();
  }

  private record Answer(int status, String body, long era) {}

  private static String path(String kind, String name) {
    return "/objects/" + SEGMENT_ESCAPER.escape(kind) + "/" + SEGMENT_ESCAPER.escape(name);
  }

  private Future<Answer> call(
      HttpMethod method, String uri, String body, long timeoutInMilliseconds) {
    calls.increment();
    RequestOptions options =
        new RequestOptions()
            .setMethod(method)
            .setHost(address.getHost())
            .setPort(address.getPort())
            .setURI(uri)
            .setTimeout(timeoutInMilliseconds);
    return client
        .request(options)
        .compose(
            request ->
                (body == null ? request.send() : request.send(Buffer.buffer(body)))
                    .compose(
                        response ->
                            response.body().compose(text -> toAnswer(response, text.toString()))))
        .recover(
            cause -> {
              failures.increment();
              return fail(Kind.NO_ANSWER, "no answer from the platform: " + cause.getMessage());
            });
  }

  /**
   * Takes over the era that an answer reports; the last one holds if it reports none. An answer of
   * an earlier era has arrived late, or comes from a part of the platform that lags behind.
   */
  private Future<Answer> toAnswer(HttpClientResponse response, String body) {
    long era = lastEra;
    String reported = response.getHeader(ERA_HEADER);
    if (reported != null) {
      try {
        era = Math.max(0, Long.parseLong(reported.trim()));
      } catch (NumberFormatException e) {
        log.log(Level.WARNING, "header {0}: expected a number but was {1}", ERA_HEADER, reported);
      }
    }
    if (era > lastEra) {
      log.log(Level.WARNING, "the platform is in era {0}, before in era {1}", era, lastEra);
      lastEra = era;
    }
    return era < lastEra
        ? fail(Kind.NO_ANSWER, "expected era " + lastEra + " but the answer is of era " + era)
        : Future.succeededFuture(new Answer(response.statusCode(), body, era));
  }

  private static <T> Future<T> fail(Kind kind, String message) {
    return Future.failedFuture(new PlatformException(kind, message));
  }

  private static Future<PlatformObject> toObject(String kind, String name, Answer answer) {
    if (answer.status() == NOT_FOUND) {
      return fail(Kind.MISSING, kind + "/" + name + " does not exist");
    }
    if (answer.status() != OK) {
      return fail(Kind.BAD_ANSWER, "the platform answered with status " + answer.status());
    }
    try {
      JsonObject json = new JsonObject(answer.body());
      return Future.succeededFuture(
          new PlatformObject(
              new StorePosition(answer.era(), json.getLong("version")).toNumber(),
              json.getJsonObject("value").encode()));
    } catch (DecodeException
        | ClassCastException
        | NullPointerException
        | IllegalArgumentException
        | StackOverflowError e) {
      return fail(Kind.BAD_ANSWER, "invalid answer from the platform: " + e.getMessage());
    }
  }

  private static Future<Long> toVersion(String kind, String name, Answer answer) {
    if (answer.status() == CONFLICT) {
      return fail(Kind.CONFLICT, kind + "/" + name + " was changed by another edit");
    }
    if (answer.status() != OK) {
      return fail(Kind.BAD_ANSWER, "the platform answered with status " + answer.status());
    }
    try {
      long version = new JsonObject(answer.body()).getLong("version");
      return Future.succeededFuture(new StorePosition(answer.era(), version).toNumber());
    } catch (DecodeException
        | ClassCastException
        | NullPointerException
        | IllegalArgumentException
        | StackOverflowError e) {
      return fail(Kind.BAD_ANSWER, "invalid answer from the platform: " + e.getMessage());
    }
  }

  private Future<PlatformVms> toVms(Answer answer) {
    try {
      JsonArray list = new JsonObject(answer.body()).getJsonArray("vms");
      Map<String, ListedVm> live = new HashMap<>();
      Set<String> leaving = new HashSet<>();
      List<String> invalid = new ArrayList<>();
      for (int index = 0; index < list.size(); index++) {
        try {
          addVm(list.getValue(index), live, leaving);
        } catch (InvalidEntryException e) {
          invalid.add("vms[" + index + "]." + e.getMessage());
        }
      }
      logInvalidVms(invalid);
      return Future.succeededFuture(new PlatformVms(live, leaving));
    } catch (DecodeException | ClassCastException | NullPointerException | StackOverflowError e) {
      return fail(Kind.BAD_ANSWER, "invalid list of VMs from the platform: " + e.getMessage());
    }
  }

  private static void addVm(Object item, Map<String, ListedVm> live, Set<String> leaving)
      throws InvalidEntryException {
    EntryFields vm = EntryFields.of(item instanceof JsonObject object ? object : null);
    String name = vm.text("name");
    boolean isLeaving = !vm.lacks("leaving") && vm.flag("leaving");
    live.put(name, new ListedVm(name, vm.text("dataCentre"), vm.text("peerAddress")));
    if (isLeaving) {
      leaving.add(name);
    }
  }

  /** Logs the VMs that a list names without what is needed of them, when they have changed. */
  private void logInvalidVms(List<String> invalid) {
    if (!invalid.equals(lastInvalidVms)) {
      lastInvalidVms = List.copyOf(invalid);
      log.log(
          Level.WARNING,
          "VMs left out of the list of the platform: {0}, first: {1}",
          invalid.size(),
          invalid.isEmpty() ? "none" : invalid.get(0));
    }
  }
}
