package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Stand-in of the platform's metadata store: objects, conditional writes, listings, watches. */
final class Store {
  private static final int PAGE = 500;
  private static final long ANSWER_IN_MILLISECONDS = 4;

  private record Event(String kind, long revision, Map<String, Object> body) {}

  private record Answer(int status, Object body) {}

  private final TreeMap<String, Map<String, Object>> objects = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final ExecutorService executor =
      Executors.newCachedThreadPool(
          task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
          });
  private HttpServer server;
  private long revision = 100;

  void start() throws IOException {
    server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
    server.setExecutor(executor);
    server.createContext("/objects/", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Thread.sleep(ANSWER_IN_MILLISECONDS);
      Answer answer = answer(exchange, body);
      byte[] bytes = Json.encode(answer.body()).getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.sendResponseHeaders(answer.status(), bytes.length);
      exchange.getResponseBody().write(bytes);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      exchange.close();
    }
  }

  private Answer answer(HttpExchange exchange, String body) throws InterruptedException {
    String[] parts = exchange.getRequestURI().getPath().substring("/objects/".length()).split("/");
    Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
    String kind = parts[0];
    return switch (exchange.getRequestMethod()) {
      case "GET" ->
          parts.length > 1
              ? get(kind, parts[1])
              : query.containsKey("watch")
                  ? watch(
                      kind,
                      Long.parseLong(query.get("watch")),
                      Long.parseLong(query.getOrDefault("wait_ms", "0")))
                  : list(kind, query.getOrDefault("after", ""));
      case "POST" -> create(kind, Json.object(body));
      case "PUT" -> replace(kind, parts[1], Json.object(body));
      case "DELETE" -> delete(kind, parts[1], query.get("revision"));
      default -> new Answer(405, Map.of());
    };
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    for (String pair : raw == null ? new String[0] : raw.split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    return query;
  }

  private synchronized Answer get(String kind, String name) {
    Map<String, Object> object = objects.get(kind + "/" + name);
    return object == null ? new Answer(404, Map.of()) : new Answer(200, object);
  }

  private synchronized Answer list(String kind, String after) {
    List<Object> items = new ArrayList<>();
    boolean more = false;
    for (Map.Entry<String, Map<String, Object>> entry :
        objects.tailMap(kind + "/" + after, false).entrySet()) {
      if (!entry.getKey().startsWith(kind + "/")) {
        break;
      }
      if (items.size() == PAGE) {
        more = true;
        break;
      }
      items.add(entry.getValue());
    }
    return new Answer(200, body("items", items, "more", more, "at_rev", revision));
  }

  private synchronized Answer watch(String kind, long after, long waitInMilliseconds)
      throws InterruptedException {
    double end = Recorder.now() + waitInMilliseconds;
    while (true) {
      List<Object> found = new ArrayList<>();
      for (Event event : events) {
        if (event.revision() > after && event.kind().equals(kind)) {
          found.add(event.body());
        }
      }
      long left = (long) (end - Recorder.now());
      if (!found.isEmpty() || left <= 0) {
        return new Answer(200, body("events", found, "at_rev", revision));
      }
      wait(left);
    }
  }

  private synchronized Answer create(String kind, Map<String, Object> body) {
    String name = (String) meta(body).get("name");
    Map<String, Object> present = objects.get(kind + "/" + name);
    return present != null
        ? new Answer(409, present)
        : new Answer(200, write(kind, name, body.get("spec")));
  }

  private synchronized Answer replace(String kind, String name, Map<String, Object> body) {
    Map<String, Object> present = objects.get(kind + "/" + name);
    if (present == null) {
      return new Answer(404, Map.of());
    }
    Object condition = meta(body).get("revision");
    if (condition != null && !condition.equals(meta(present).get("revision"))) {
      return new Answer(409, present);
    }
    boolean same = Json.encode(present.get("spec")).equals(Json.encode(body.get("spec")));
    return new Answer(200, same ? present : write(kind, name, body.get("spec")));
  }

  private synchronized Answer delete(String kind, String name, String condition) {
    Map<String, Object> present = objects.get(kind + "/" + name);
    if (present == null) {
      return new Answer(404, Map.of());
    }
    if (condition != null && !condition.equals(String.valueOf(meta(present).get("revision")))) {
      return new Answer(409, present);
    }
    remove(kind, name);
    return new Answer(200, present);
  }

  /** Writes an object without a condition, as the operator and the backends do. */
  synchronized Map<String, Object> write(String kind, String name, Object spec) {
    revision++;
    Map<String, Object> present = objects.get(kind + "/" + name);
    Object created = present == null ? revision : meta(present).get("created_rev");
    Map<String, Object> object = new LinkedHashMap<>();
    object.put(
        "meta",
        body(
            "name", name,
            "revision", revision,
            "created_rev", created,
            "finalizers", List.of(),
            "deletion_ts", false));
    object.put("spec", spec);
    object.put("status", null);
    objects.put(kind + "/" + name, object);
    events.add(new Event(kind, revision, body("object", object, "deleted", false)));
    notifyAll();
    return object;
  }

  synchronized void remove(String kind, String name) {
    Map<String, Object> present = objects.remove(kind + "/" + name);
    if (present != null) {
      revision++;
      Map<String, Object> last = new LinkedHashMap<>(present);
      Map<String, Object> meta = new LinkedHashMap<>(meta(present));
      meta.put("revision", revision);
      last.put("meta", meta);
      events.add(new Event(kind, revision, body("object", last, "deleted", true)));
      notifyAll();
    }
  }

  @SuppressWarnings("unchecked")
  private static Map<String, Object> meta(Map<String, Object> object) {
    return (Map<String, Object>) object.getOrDefault("meta", Map.of());
  }

  /** Returns a JSON object from names and values in turn. */
  static Map<String, Object> body(Object... pairs) {
    Map<String, Object> body = new LinkedHashMap<>();
    for (int index = 0; index < pairs.length; index += 2) {
      body.put((String) pairs[index], pairs[index + 1]);
    }
    return body;
  }
}
