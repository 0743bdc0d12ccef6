import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** A service: one primary and its replicas, with a log of commits. */
final class Database {
  /** A commit. */
  record Commit(long number, String requestId, Map<String, String> writes) {}

  /** A statement that a server ran: a read, a write or a commit. */
  record Run(long at, String server, String tenant, String id, String text, String result) {}

  final String service;
  final List<Server> servers = new ArrayList<>();
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final ObjectStore store;
  private final long lagMs;
  private final long workMs;
  private final int slots;
  private final int maximumConnections;
  private final ScheduledExecutorService timer =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "database");
            thread.setDaemon(true);
            return thread;
          });
  private long newestTerm = 3;
  private Server primary;

  Database(ObjectStore store, String service, long lagMs, long workMs, int slots, int connections) {
    this.store = store;
    this.service = service;
    this.lagMs = lagMs;
    this.workMs = workMs;
    this.slots = slots;
    this.maximumConnections = connections;
  }

  /** Starts a server; the first one is the primary. */
  Server start(String id, String host, String zone) throws IOException {
    Server server = new Server(id, host, zone);
    servers.add(server);
    if (primary == null) {
      primary = server;
    }
    server.listen();
    server.register();
    return server;
  }

  Server primary() {
    synchronized (this) {
      return primary;
    }
  }

  /** Carries out an accepted failover: the server leads the next term with what it received. */
  void promote(String id, long delayMs) {
    timer.schedule(
        () -> {
          synchronized (this) {
            Server next = servers.stream().filter(s -> s.id.equals(id)).findFirst().orElseThrow();
            if (next == primary) {
              return;
            }
            newestTerm++;
            primary = next;
            for (Server server : servers) {
              server.term = newestTerm;
              if (server != next) {
                server.log.clear();
                server.log.addAll(next.log);
              }
            }
          }
          servers.forEach(Server::register);
        },
        delayMs,
        TimeUnit.MILLISECONDS);
  }

  /** Returns the ids of the single writes and commits in the log of the primary. */
  synchronized Set<String> committed() {
    return primary.log.stream().map(Commit::requestId).collect(Collectors.toSet());
  }

  void stop() {
    timer.shutdownNow();
    servers.forEach(Server::crash);
  }

  /** Returns the signature of a server for its answer to a statement. */
  static String signature(String server, String requestId, List<String> rows) {
    return server + "." + requestId + "." + Integer.toHexString(rows.hashCode());
  }

  /** Returns a text, of a long one its beginning and its hash: logs keep no long values. */
  private static String shortened(String text) {
    return text.length() <= 200 ? text : text.substring(0, 100) + "#" + text.hashCode();
  }

  /** One backend. */
  final class Server {
    final String id;
    final String zone;
    final List<Commit> log = new ArrayList<>();
    private final String host;
    private final Semaphore freeSlots = new Semaphore(slots, true);
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private ServerSocket listener;
    private int port;
    private long term = 3;
    private long sequence;
    private final long born = System.currentTimeMillis();
    volatile String state = "ready";

    Server(String id, String host, String zone) {
      this.id = id;
      this.host = host;
      this.zone = zone;
    }

    void listen() throws IOException {
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 200);
      port = listener.getLocalPort();
      ServerSocket accepting = listener;
      daemon(
          () -> {
            while (!accepting.isClosed()) {
              Socket socket = accepting.accept();
              connections.add(socket);
              daemon(() -> serve(socket));
            }
          });
    }

    /** Writes the entry in the store, as a heartbeat does. */
    void register() {
      synchronized (Database.this) {
        sequence++;
        store.put(
            "servers",
            id,
            "{\"service\":"
                + Json.quote(service)
                + ",\"address\":"
                + Json.quote(host + ":" + port)
                + ",\"zone\":"
                + Json.quote(zone)
                + ",\"version\":\"1\",\"slots\":"
                + slots
                + ",\"state\":"
                + Json.quote(state)
                + ",\"cold_left_ms\":0,\"db_role\":"
                + Json.quote(primary == this ? "primary" : "replica")
                + ",\"sequence\":"
                + sequence
                + ",\"born\":"
                + born
                + "}");
      }
    }

    /** Ends the process of the server: its connections are reset. */
    void crash() {
      try {
        listener.close();
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
      for (Socket socket : connections) {
        try {
          socket.setSoLinger(true, 0);
          socket.close();
        } catch (IOException e) {
          // The system closed the connection meanwhile.
        }
      }
      connections.clear();
    }

    private String position() {
      synchronized (Database.this) {
        return term + "." + (log.isEmpty() ? 0 : log.get(log.size() - 1).number());
      }
    }

    private void serve(Socket socket) throws IOException {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
        OutputStream output = socket.getOutputStream();
        String[] start = Lines.read(input).split(" ");
        if (!start[1].equals(service) || start.length > 3 && !start[3].equals(id)) {
          Lines.write(output, "ERROR WRONGNODE " + id);
          return;
        }
        if (connections.size() > maximumConnections) {
          Lines.write(output, "ERROR CONNLIMIT " + id);
          return;
        }
        Lines.write(output, "READY I " + position());
        Connection connection = new Connection(start.length > 2 ? start[2] : "-");
        String line = Lines.read(input);
        while (line != null && !line.equals("CLOSE")) {
          output.write(connection.answer(line).getBytes(StandardCharsets.ISO_8859_1));
          output.flush();
          line = Lines.read(input);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } finally {
        connections.remove(socket);
      }
    }

    /** The state of one connection. */
    private final class Connection {
      private final String tenant;
      private final Map<String, String> values = new HashMap<>();
      private final Map<String, String> prepared = new HashMap<>();
      private String transaction = "I";
      private boolean readOnly;
      private long begunInTerm;
      private Map<String, String> writes = new HashMap<>();

      Connection(String tenant) {
        this.tenant = tenant;
      }

      String answer(String line) throws InterruptedException {
        String[] query = line.split(" ", 3);
        String result = run(query[1], query[2]);
        return result + "READY " + transaction + " " + position() + "\r\n";
      }

      private String run(String requestId, String whole) throws InterruptedException {
        String text = whole;
        if (text.startsWith("AFTER ")) {
          String[] parts = text.split(" ", 3);
          text = parts[2];
          if (lacks(parts[1])) {
            return error("LAGGING");
          }
        }
        String[] words = text.split(" ", 4);
        if (transaction.equals("E") && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
          return error("MALFORMED");
        }
        switch (words[0]) {
          case "SET" -> values.put(words[1], words[2]);
          case "PREPARE" -> prepared.put(words[1], words[2] + " " + words[3]);
          case "DEALLOC" -> prepared.remove(words[1]);
          case "RESET" -> {
            values.clear();
            prepared.clear();
          }
          case "STATUS" -> {
            return "ROW "
                + (primary() == this$() ? "primary" : "replica")
                + " "
                + term
                + " "
                + position()
                + " "
                + term
                + " 0 0 "
                + connections.size()
                + "\r\nCOMPLETE -\r\n";
          }
          case "BEGIN" -> {
            readOnly = text.equals("BEGIN READ");
            if (!readOnly && primary() != this$()) {
              return error("READONLY");
            }
            transaction = "T";
            begunInTerm = term;
            writes = new HashMap<>();
          }
          case "ROLLBACK" -> transaction = "I";
          case "COMMIT" -> {
            return commit(requestId, text);
          }
          case "EXECUTE" -> {
            String shape = prepared.get(words[1]);
            if (shape == null) {
              return error("NOSTMT");
            }
            String data = words.length > 3 ? " " + words[3] : "";
            return statement(requestId, shape.split(" ")[0] + " " + words[2] + data, text);
          }
          default -> {
            return statement(requestId, text, text);
          }
        }
        return "COMPLETE -\r\n";
      }

      private Server this$() {
        return Server.this;
      }

      private boolean lacks(String required) {
        String[] wanted = required.split("\\.");
        String[] held = position().split("\\.");
        long wantedTerm = Long.parseLong(wanted[0]);
        long heldTerm = Long.parseLong(held[0]);
        return heldTerm < wantedTerm
            || heldTerm == wantedTerm && Long.parseLong(held[1]) < Long.parseLong(wanted[1]);
      }

      private boolean hasLostLead() {
        return transaction.equals("T")
            && !readOnly
            && (primary() != this$() || term != begunInTerm);
      }

      private String statement(String requestId, String statement, String text)
          throws InterruptedException {
        String[] words = statement.split(" ", 3);
        boolean writing = words[0].equals("WRITE");
        if (writing && (primary() != this$() || transaction.equals("T") && readOnly)
            || hasLostLead()) {
          transaction = transaction.equals("T") ? "E" : transaction;
          return error("READONLY");
        }
        occupySlot();
        List<String> rows;
        synchronized (Database.this) {
          if (writing && primary != this$()) {
            transaction = transaction.equals("T") ? "E" : transaction;
            return error("READONLY");
          }
          rows = List.of(writing ? "written " + words[1] : "value " + value(words[1]));
          if (writing && transaction.equals("T")) {
            writes.put(words[1], words.length > 2 ? shortened(words[2]) : "");
          } else if (writing) {
            append(requestId, Map.of(words[1], words.length > 2 ? shortened(words[2]) : ""));
          }
        }
        return success(requestId, text, rows);
      }

      private String value(String item) {
        if (transaction.equals("T") && writes.containsKey(item)) {
          return writes.get(item);
        }
        for (int index = log.size() - 1; index >= 0; index--) {
          String found = log.get(index).writes().get(item);
          if (found != null) {
            return found;
          }
        }
        return "none";
      }

      private String commit(String requestId, String text) throws InterruptedException {
        if (!transaction.equals("T")) {
          transaction = "I";
          return error("ABORTED");
        }
        occupySlot();
        synchronized (Database.this) {
          transaction = "I";
          if (!writes.isEmpty()) {
            if (primary != this$() || term != begunInTerm) {
              return error("READONLY");
            }
            append(requestId, Map.copyOf(writes));
          }
        }
        return success(requestId, text, List.of());
      }

      private void occupySlot() throws InterruptedException {
        freeSlots.acquire();
        try {
          long work = Math.max(1, workMs / 2 + ThreadLocalRandom.current().nextLong(workMs + 1));
          Thread.sleep(work);
        } finally {
          freeSlots.release();
        }
      }

      private void append(String requestId, Map<String, String> changes) {
        long number = log.isEmpty() ? 1 : log.get(log.size() - 1).number() + 1;
        Commit commit = new Commit(number, requestId, changes);
        log.add(commit);
        long commitTerm = term;
        for (Server replica : servers) {
          if (replica != this$()) {
            timer.schedule(
                () -> replica.receive(commitTerm, commit), lagMs, TimeUnit.MILLISECONDS);
          }
        }
      }

      private String success(String requestId, String text, List<String> rows) {
        StringBuilder answer = new StringBuilder();
        rows.forEach(row -> answer.append("ROW ").append(row).append("\r\n"));
        String signature = signature(id, requestId, rows);
        runs.add(new Run(System.nanoTime(), id, tenant, requestId, shortened(text), signature));
        return answer.append("COMPLETE ").append(signature).append("\r\n").toString();
      }

      private String error(String code) {
        return "ERROR " + code + " " + id + "\r\n";
      }
    }

    private void receive(long commitTerm, Commit commit) {
      synchronized (Database.this) {
        long last = log.isEmpty() ? 0 : log.get(log.size() - 1).number();
        if (commitTerm == term && commit.number() == last + 1) {
          log.add(commit);
        }
      }
    }
  }

  /** An action of a thread of its own, which ends with its connection. */
  private interface Action {
    void run() throws IOException;
  }

  private static void daemon(Action action) {
    Thread thread =
        new Thread(
            () -> {
              try {
                action.run();
              } catch (IOException | NullPointerException e) {
                // The connection or the listener was closed.
              }
            },
            "database");
    thread.setDaemon(true);
    thread.start();
  }
}
