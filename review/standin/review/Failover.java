package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executors;

/** Stand-in of the platform's calls of singleton duties: orders of promotions, with fences. */
final class Failover {
  private final Map<String, Group> groups;
  private final Recorder recorder;
  private final Map<String, Long> fences = new HashMap<>();
  private HttpServer server;

  Failover(Map<String, Group> groups, Recorder recorder) {
    this.groups = groups;
    this.recorder = recorder;
  }

  void start() throws IOException {
    server =
        HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 128);
    server.setExecutor(
        Executors.newCachedThreadPool(
            task -> {
              Thread thread = new Thread(task);
              thread.setDaemon(true);
              return thread;
            }));
    server.createContext("/failover", this::handle);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private void handle(HttpExchange exchange) throws IOException {
    try (exchange) {
      String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      Map<String, Object> order = Json.object(body);
      String service = (String) order.get("service");
      String id = (String) order.get("id");
      String holder = exchange.getRequestHeaders().getFirst("Duty-Holder");
      long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("Fence-Token"));
      int status = 200;
      synchronized (this) {
        if (fence < fences.getOrDefault(service, 0L)) {
          status = 409;
        } else {
          fences.put(service, fence);
        }
      }
      if (status == 200 && (!groups.containsKey(service) || !groups.get(service).order(id))) {
        status = 409;
      }
      recorder.say("POST /failover %s %s by %s, fence %d: %d", service, id, holder, fence, status);
      exchange.sendResponseHeaders(status, -1);
    }
  }
}
