package review;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Stand-in of a backend: sessions, transactions, slots, a log of its own. */
final class Endpoint {
  private static final int MAXIMUM_WAITING = 24;
  private static final long HANDSHAKE_IN_MILLISECONDS = 12;

  final Group group;
  final String id;
  final String zone;
  final int slots;
  final int maximumConnections;
  final long born = System.currentTimeMillis();
  final List<Commit> received = new ArrayList<>();
  private final Semaphore freeSlots;
  private final AtomicInteger connections = new AtomicInteger();
  private final AtomicInteger signatures = new AtomicInteger();
  private final List<Socket> sockets = new ArrayList<>();
  private ServerSocket listener;
  private SilencingProxy proxy;
  private int inspectedPort;

  int applied;
  long sequence;
  Map<String, Object> lastEntry = Map.of();
  double lastApplyAt;
  volatile double lagInMilliseconds = 60;
  volatile double workInMilliseconds = 24;
  volatile boolean draining;
  volatile boolean running = true;
  volatile boolean deaf;

  Endpoint(Group group, String id, String zone, int slots, int maximumConnections) {
    this.group = group;
    this.id = id;
    this.zone = zone;
    this.slots = slots;
    this.maximumConnections = maximumConnections;
    this.freeSlots = new Semaphore(slots, true);
  }

  void start() throws IOException {
    listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    daemon(this::accept);
  }

  /** Puts a proxy before this backend; its entry names the proxy's address from now on. */
  SilencingProxy addProxy() throws IOException {
    proxy = new SilencingProxy(listener.getLocalPort());
    proxy.start();
    group.heartbeat(this);
    return proxy;
  }

  /** Puts an inspection before this backend; its entry names the inspection's address. */
  void inspect(Inspection inspection) throws IOException {
    inspectedPort = inspection.listen(id, listener.getLocalPort());
    group.heartbeat(this);
  }

  static void daemon(Runnable task) {
    Thread thread = new Thread(null, task, "standin", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private int advertisedPort() {
    if (inspectedPort != 0) {
      return inspectedPort;
    }
    return proxy == null ? listener.getLocalPort() : proxy.port();
  }

  Map<String, Object> entry() {
    return Store.body(
        "service", group.service,
        "address", "127.0.0.1:" + advertisedPort(),
        "zone", zone,
        "version", "v1",
        "slots", slots,
        "state", draining ? "draining" : "ready",
        "cold_left_ms", 0,
        "db_role", group.primary == this ? "primary" : "replica",
        "born", born,
        "sequence", sequence);
  }

  /** Ends the process: connections are reset and new ones refused. */
  void crash() throws IOException {
    synchronized (group) {
      running = false;
      group.notifyAll();
    }
    listener.close();
    List<Socket> open;
    synchronized (sockets) {
      open = List.copyOf(sockets);
    }
    for (Socket socket : open) {
      socket.close();
    }
  }

  private void accept() {
    while (running) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        synchronized (sockets) {
          sockets.add(socket);
        }
        daemon(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    connections.incrementAndGet();
    try (socket) {
      new Session(socket).run();
    } catch (IOException e) {
      // The proxy closed the connection; an open transaction is rolled back.
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      connections.decrementAndGet();
      synchronized (sockets) {
        sockets.remove(socket);
      }
    }
  }

  /** Returns the position of the applied log; must be called with the group's lock held. */
  private String position() {
    return applied == 0 ? "3.1000" : received.get(applied - 1).position();
  }

  private String receivedPosition() {
    return received.isEmpty() ? "3.1000" : received.get(received.size() - 1).position();
  }

  /** Returns whether the applied log has a commit; must be called with the group's lock held. */
  boolean holds(Commit commit) {
    int index = received.indexOf(commit);
    return index >= 0 && index < applied;
  }

  private final class Session {
    private final InputStream input;
    private final OutputStream output;
    private final Map<String, String> prepared = new HashMap<>();
    private String state = "I";
    private boolean readOnly;
    private boolean wrote;
    private boolean firstOfTransaction;
    private long leadTerm;

    private Session(Socket socket) throws IOException {
      input = new BufferedInputStream(socket.getInputStream());
      output = new BufferedOutputStream(socket.getOutputStream());
    }

    private void run() throws IOException, InterruptedException {
      String line = readLine();
      if (line == null) {
        return;
      }
      String[] start = line.split(" ");
      if (!start[0].equals("START")
          || !start[1].equals(group.service)
          || start.length > 3 && !start[3].equals(id)) {
        send("ERROR WRONGNODE " + id);
        return;
      }
      if (connections.get() > maximumConnections) {
        send("ERROR CONNLIMIT " + id);
        return;
      }
      occupySlot(HANDSHAKE_IN_MILLISECONDS);
      ready();
      while ((line = readLine()) != null && !line.equals("CLOSE")) {
        String[] words = line.split(" ", 3);
        query(words[1], words[2]);
      }
    }

    private String readLine() throws IOException {
      StringBuilder line = new StringBuilder();
      int next;
      while ((next = input.read()) >= 0) {
        if (next == '\n') {
          line.setLength(line.length() - 1);
          return line.toString();
        }
        line.append((char) next);
      }
      return null;
    }

    private void send(String text) throws IOException {
      output.write((text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      output.flush();
    }

    private void ready() throws IOException {
      String position;
      synchronized (group) {
        position = position();
      }
      send("READY " + state + " " + position);
    }

    private void complete(String signature) throws IOException {
      output.write(("COMPLETE " + signature + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      ready();
    }

    private void error(String code) throws IOException {
      if (state.equals("T")) {
        state = "E";
      }
      output.write(("ERROR " + code + " " + id + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      ready();
    }

    private boolean occupySlot(double milliseconds) throws InterruptedException {
      if (freeSlots.getQueueLength() >= MAXIMUM_WAITING) {
        return false;
      }
      freeSlots.acquire();
      try {
        Thread.sleep((long) milliseconds);
      } finally {
        freeSlots.release();
      }
      return true;
    }

    private boolean isLeader() {
      return group.primary == Endpoint.this;
    }

    /** Returns whether a plain transaction's backend has lost the lead since its begin. */
    private boolean lostLead() {
      synchronized (group) {
        return state.equals("T") && !readOnly && (!isLeader() || group.term != leadTerm);
      }
    }

    private void query(String requestId, String query) throws IOException, InterruptedException {
      if (!requestId.equals("-")) {
        group.arrivals.putIfAbsent(requestId, Recorder.now());
        group.recorder.log("%.60s reaches %s", requestId, id);
      }
      String text = query;
      long afterTerm = 0;
      long afterNumber = 0;
      if (text.startsWith("AFTER ")) {
        String[] words = text.split(" ", 3);
        String[] position = words[1].split("\\.");
        afterTerm = Long.parseLong(position[0]);
        afterNumber = Long.parseLong(position[1]);
        text = words[2];
      }
      String[] words = text.split(" ");
      if (state.equals("E") && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
        error("MALFORMED");
        return;
      }
      String shape = words[0];
      if (shape.equals("EXECUTE")) {
        if (!prepared.containsKey(words[1])) {
          error("NOSTMT");
          return;
        }
        shape = prepared.get(words[1]);
      }
      switch (shape) {
        case "BEGIN" -> begin(words, afterTerm, afterNumber);
        case "READ" -> read(requestId, text, afterTerm, afterNumber);
        case "WRITE" -> write(requestId, text);
        case "COMMIT" -> commit(requestId, text);
        case "ROLLBACK" -> {
          state = "I";
          complete("-");
        }
        case "RESET" -> {
          prepared.clear();
          complete("-");
        }
        case "SET" -> complete("-");
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          complete("-");
        }
        case "DEALLOC" -> {
          prepared.remove(words[1]);
          complete("-");
        }
        case "STATUS" -> status();
        default -> error("MALFORMED");
      }
    }

    private void begin(String[] words, long afterTerm, long afterNumber) throws IOException {
      boolean reads = words.length > 1;
      synchronized (group) {
        if (!reads && !isLeader()) {
          error("READONLY");
          return;
        }
        if (lacks(afterTerm, afterNumber)) {
          error("LAGGING");
          return;
        }
        leadTerm = group.term;
      }
      readOnly = reads;
      wrote = false;
      firstOfTransaction = true;
      state = "T";
      complete("-");
    }

    private boolean lacks(long afterTerm, long afterNumber) {
      String[] position = position().split("\\.");
      long term = Long.parseLong(position[0]);
      long number = Long.parseLong(position[1]);
      return term < afterTerm || term == afterTerm && number < afterNumber;
    }

    private void read(String requestId, String text, long afterTerm, long afterNumber)
        throws IOException, InterruptedException {
      if (lostLead()) {
        error("READONLY");
        return;
      }
      synchronized (group) {
        if (lacks(afterTerm, afterNumber)) {
          error("LAGGING");
          return;
        }
      }
      if (!occupySlot(workInMilliseconds)) {
        error("BUSY");
        return;
      }
      if (lostLead()) {
        error("READONLY");
        return;
      }
      synchronized (group) {
        onRun(requestId, text);
      }
      output.write(
          ("ROW r" + ThreadLocalRandom.current().nextInt(1_000_000) + "\r\n")
              .getBytes(StandardCharsets.ISO_8859_1));
      complete(signature(requestId));
    }

    private void onRun(String requestId, String text) {
      boolean first = state.equals("I") || firstOfTransaction;
      firstOfTransaction = false;
      group.recorder.log("%s runs %.60s %.200s at %s", id, requestId, text, position());
      if (!requestId.equals("-")) {
        group.runListener.onRun(Endpoint.this, requestId, text, first);
      }
    }

    private String signature(String requestId) {
      return "sig." + id + "." + signatures.incrementAndGet() + "." + requestId;
    }

    private void write(String requestId, String text) throws IOException, InterruptedException {
      if (lostLead() || readOnly && state.equals("T") || state.equals("I") && !isLeader()) {
        error("READONLY");
        return;
      }
      if (!occupySlot(workInMilliseconds)) {
        error("BUSY");
        return;
      }
      if (state.equals("T")) {
        if (lostLead()) {
          error("READONLY");
          return;
        }
        synchronized (group) {
          onRun(requestId, text);
        }
        wrote = true;
        complete(signature(requestId));
        return;
      }
      Commit commit;
      synchronized (group) {
        if (!isLeader()) {
          error("READONLY");
          return;
        }
        onRun(requestId, text);
        commit = group.commit(Endpoint.this, requestId);
      }
      if (!group.awaitReplicas(Endpoint.this, commit)) {
        error("FAILED");
        return;
      }
      complete(signature(requestId));
    }

    private void commit(String requestId, String text) throws IOException, InterruptedException {
      if (!state.equals("T")) {
        boolean failed = state.equals("E");
        state = "I";
        error(failed ? "ABORTED" : "MALFORMED");
        return;
      }
      if (wrote && lostLead()) {
        state = "I";
        error("READONLY");
        return;
      }
      if (!occupySlot(workInMilliseconds)) {
        error("BUSY");
        return;
      }
      Commit commit = null;
      synchronized (group) {
        if (wrote && lostLead()) {
          state = "I";
          error("READONLY");
          return;
        }
        onRun(requestId, text);
        if (wrote) {
          commit = group.commit(Endpoint.this, requestId);
        }
      }
      if (commit != null && !group.awaitReplicas(Endpoint.this, commit)) {
        state = "I";
        error("FAILED");
        return;
      }
      state = "I";
      complete(signature(requestId));
    }

    private void status() throws IOException {
      String row;
      synchronized (group) {
        row =
            (isLeader() ? "primary " : "replica ")
                + group.term
                + " "
                + receivedPosition()
                + " "
                + group.term
                + " "
                + (long) (isLeader() ? 0 : lagInMilliseconds)
                + " "
                + (slots - freeSlots.availablePermits())
                + " "
                + connections.get();
      }
      output.write(("ROW " + row + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      complete("-");
    }
  }
}
