import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/**
 * The platform's metadata store and its cloud API: objects by kind and name with one revision
 * counter, listings, watches and fenced calls. Contents are kept as JSON texts.
 */
final class ObjectStore {
  /** An object; its content is the JSON text of "spec". */
  private record Item(String kind, String name, String spec, long createdRevision, long revision) {
    String json() {
      return "{\"meta\":{\"name\":"
          + Json.quote(name)
          + ",\"revision\":"
          + revision
          + ",\"created_rev\":"
          + createdRevision
          + ",\"finalizers\":[]},\"spec\":"
          + spec
          + ",\"status\":{}}";
    }
  }

  private record Event(String kind, long revision, String json) {}

  /** Receives promotion orders; returns the HTTP status of the answer. */
  interface Failover {
    int promote(String service, String id, String holder, long token);
  }

  private final Map<String, Item> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final HttpServer server;
  private Failover failover = (service, id, holder, token) -> 503;
  private long revision = 100;

  ObjectStore(String host) throws IOException {
    server = HttpServer.create(new InetSocketAddress(host, 0), 1024);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task, "store");
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/", this::handle);
    server.start();
  }

  String address() {
    return server.getAddress().getAddress().getHostAddress() + ":" + server.getAddress().getPort();
  }

  void onFailover(Failover handler) {
    failover = handler;
  }

  void stop() {
    server.stop(0);
  }

  /** Writes an object as the operator or a server would; a write of the same content is none. */
  synchronized void put(String kind, String name, String spec) {
    Item before = items.get(kind + "/" + name);
    if (before != null && before.spec().equals(spec)) {
      return;
    }
    revision++;
    long created = before == null ? revision : before.createdRevision();
    Item item = new Item(kind, name, spec, created, revision);
    items.put(kind + "/" + name, item);
    publish(kind, "{\"object\":" + item.json() + ",\"deleted\":false}");
  }

  synchronized void remove(String kind, String name) {
    Item before = items.remove(kind + "/" + name);
    if (before != null) {
      revision++;
      Item last = new Item(kind, name, before.spec(), before.createdRevision(), revision);
      publish(kind, "{\"object\":" + last.json() + ",\"deleted\":true}");
    }
  }

  private void publish(String kind, String json) {
    events.add(new Event(kind, revision, json));
    notifyAll();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String path = exchange.getRequestURI().getRawPath();
      Map<String, String> query = query(exchange.getRequestURI().getRawQuery());
      if (path.equals("/failover")) {
        String holder = exchange.getRequestHeaders().getFirst("Duty-Holder");
        long token = Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token"));
        answer(
            exchange,
            failover.promote(Json.text(body, "service"), Json.text(body, "id"), holder, token),
            "{}");
        return;
      }
      String[] parts = path.split("/");
      if (parts.length < 3 || !parts[1].equals("objects")) {
        answer(exchange, 404, "{}");
        return;
      }
      String kind = decoded(parts[2]);
      String method = exchange.getRequestMethod();
      if (parts.length == 3 && query.containsKey("watch")) {
        watch(exchange, kind, query);
      } else if (parts.length == 3 && method.equals("GET")) {
        answer(exchange, 200, list(kind));
      } else if (parts.length == 3) {
        create(exchange, kind, body);
      } else {
        single(exchange, method, kind, decoded(parts[3]), query, body);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<String, String> query(String raw) {
    Map<String, String> query = new HashMap<>();
    if (raw != null) {
      for (String part : raw.split("&")) {
        int separator = part.indexOf('=');
        query.put(part.substring(0, separator), decoded(part.substring(separator + 1)));
      }
    }
    return query;
  }

  private static String decoded(String text) {
    return URLDecoder.decode(text.replace("+", "%2B"), StandardCharsets.UTF_8);
  }

  private synchronized String list(String kind) {
    List<String> found = new ArrayList<>();
    for (Item item : items.values()) {
      if (item.kind().equals(kind)) {
        found.add(item.json());
      }
    }
    return "{\"items\":["
        + String.join(",", found)
        + "],\"more\":false,\"at_rev\":"
        + revision
        + "}";
  }

  private void watch(HttpExchange exchange, String kind, Map<String, String> query)
      throws IOException, InterruptedException {
    long after = Long.parseLong(query.get("watch"));
    long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
    String body;
    synchronized (this) {
      List<String> found = since(kind, after);
      while (found.isEmpty() && System.currentTimeMillis() < end) {
        wait(Math.max(1, end - System.currentTimeMillis()));
        found = since(kind, after);
      }
      body = "{\"events\":[" + String.join(",", found) + "],\"at_rev\":" + revision + "}";
    }
    answer(exchange, 200, body);
  }

  private List<String> since(String kind, long after) {
    return events.stream()
        .filter(event -> event.kind().equals(kind) && event.revision() > after)
        .map(Event::json)
        .toList();
  }

  private void create(HttpExchange exchange, String kind, String body) throws IOException {
    String name = Json.text(Json.raw(body, "meta"), "name");
    String json;
    int status;
    synchronized (this) {
      Item before = items.get(kind + "/" + name);
      status = before == null ? 200 : 409;
      if (before == null) {
        put(kind, name, Json.raw(body, "spec"));
      }
      json = items.get(kind + "/" + name).json();
    }
    answer(exchange, status, json);
  }

  private void single(
      HttpExchange exchange,
      String method,
      String kind,
      String name,
      Map<String, String> query,
      String body)
      throws IOException {
    int status = 200;
    String json = "{}";
    synchronized (this) {
      Item before = items.get(kind + "/" + name);
      String expected =
          method.equals("PUT")
              ? Json.raw(Json.raw(body, "meta"), "revision")
              : query.getOrDefault("revision", "");
      if (before == null) {
        status = 404;
      } else if (!method.equals("GET")
          && !expected.isEmpty()
          && Long.parseLong(expected) != before.revision()) {
        status = 409;
        json = before.json();
      } else if (method.equals("DELETE")) {
        json = before.json();
        remove(kind, name);
      } else {
        if (method.equals("PUT")) {
          put(kind, name, Json.raw(body, "spec"));
        }
        json = items.get(kind + "/" + name).json();
      }
    }
    answer(exchange, status, json);
  }

  private static void answer(HttpExchange exchange, int status, String body) throws IOException {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    exchange.getResponseHeaders().add("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, bytes.length);
    exchange.getResponseBody().write(bytes);
  }
}
