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
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Reads every message between the VMs and the backends as the protocol page defines it, keeps what
 * each connection holds, and compares each run with what its client sent, prepared and set.
 */
final class Inspection {
  private static final int MAXIMUM_MESSAGE_IN_BYTES = 1024 * 1024;

  /** Shares of messages that are interfered with. */
  record Trouble(
      double refusedSetup, double unknownNames, double cutBefore, double cutAfter, double pieces) {
    static final Trouble NONE = new Trouble(0, 0, 0, 0, 0);
  }

  final Map<String, Intent> intents = new ConcurrentHashMap<>();

  /** Rows and signature that a backend sent for a statement's newest successful run. */
  final Map<String, List<String>> answers = new ConcurrentHashMap<>();

  /** Successful runs of writes outside transactions and of commits, by the statement's id. */
  final Map<String, AtomicInteger> effects = new ConcurrentHashMap<>();

  final AtomicInteger runs = new AtomicInteger();
  final AtomicInteger pinned = new AtomicInteger();
  final AtomicInteger unasked = new AtomicInteger();
  final AtomicInteger oversized = new AtomicInteger();
  final AtomicInteger interfered = new AtomicInteger();
  final AtomicInteger setups = new AtomicInteger();

  /** How many connections go silent at the next RESET on each. */
  final AtomicInteger silentAtReset = new AtomicInteger();

  private final Recorder recorder;
  private final Trouble trouble;

  Inspection(Recorder recorder, Trouble trouble) {
    this.recorder = recorder;
    this.trouble = trouble;
  }

  /** Accepts connections for a backend; returns the port. */
  int listen(String endpoint, int target) throws IOException {
    ServerSocket listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    Endpoint.daemon(
        () -> {
          while (true) {
            try {
              Socket caller = listener.accept();
              Endpoint.daemon(() -> serve(endpoint, caller, target));
            } catch (IOException e) {
              return;
            }
          }
        });
    return listener.getLocalPort();
  }

  private void serve(String endpoint, Socket caller, int target) {
    try (caller;
        Socket backend = new Socket(InetAddress.getByName("127.0.0.1"), target)) {
      caller.setTcpNoDelay(true);
      backend.setTcpNoDelay(true);
      new Connection(endpoint, caller, backend).run();
    } catch (IOException e) {
      // Either side closed the connection.
    }
  }

  private void broken(AtomicInteger counter, String format, Object... arguments) {
    counter.incrementAndGet();
    recorder.violation(format, arguments);
  }

  private static boolean happens(double share) {
    return share > 0 && ThreadLocalRandom.current().nextDouble() < share;
  }

  private static String abbreviated(Object text) {
    String whole = String.valueOf(text);
    return whole.length() <= 120 ? whole : whole.substring(0, 120) + "...";
  }

  private final class Connection {
    private final String endpoint;
    private final InputStream fromVm;
    private final OutputStream toVm;
    private final InputStream fromBackend;
    private final OutputStream toBackend;
    private final Map<String, String> values = new HashMap<>();
    private final Map<String, String> prepared = new HashMap<>();
    private String state = "I";
    private String position = "-";

    /** The client's transaction that the open one belongs to; -1 while no statement ran in it. */
    private long transaction = -1;

    private int session = -1;
    private String wrappedId = "";

    private Connection(String endpoint, Socket caller, Socket backend) throws IOException {
      this.endpoint = endpoint;
      fromVm = new BufferedInputStream(caller.getInputStream());
      toVm = new BufferedOutputStream(caller.getOutputStream());
      fromBackend = new BufferedInputStream(backend.getInputStream());
      toBackend = new BufferedOutputStream(backend.getOutputStream());
    }

    private void run() throws IOException {
      String start = readLine(fromVm, true);
      if (start == null) {
        return;
      }
      if (start.split(" ", -1).length != 4 || !start.startsWith("START ")) {
        broken(unasked, "UNASKED: %s was opened with '%s'", endpoint, abbreviated(start));
      }
      write(toBackend, start);
      toBackend.flush();
      if (!relayReply(new ArrayList<>())) {
        return;
      }
      for (String line = readLine(fromVm, true);
          line != null && !line.equals("CLOSE");
          line = readLine(fromVm, true)) {
        message(line);
      }
    }

    private void message(String line) throws IOException {
      String[] words = line.split(" ", 3);
      if (words.length < 3 || !words[0].equals("QUERY")) {
        broken(unasked, "UNASKED: %s received '%s'", endpoint, abbreviated(line));
        throw new IOException("message not understood");
      }
      String id = words[1];
      String text = words[2];
      if (text.startsWith("AFTER ")) {
        text = text.split(" ", 3)[2];
      }
      if (interfere(id, text)) {
        return;
      }
      write(toBackend, line);
      toBackend.flush();
      List<String> reply = new ArrayList<>();
      String before = state;
      List<String> lines = readReply();
      if (lines.isEmpty()) {
        throw new IOException("the backend closed the connection");
      }
      reply.addAll(lines);
      String result = reply.get(reply.size() - 2);
      String[] ready = reply.get(reply.size() - 1).split(" ");
      state = ready[1];
      position = ready[2];
      if (result.startsWith("COMPLETE ")) {
        onSuccess(id, text, before, reply, result);
      }
      if (state.equals("I")) {
        transaction = -1;
        session = -1;
        wrappedId = "";
      }
      if (!id.equals("-") && happens(trouble.cutAfter())) {
        interfered.incrementAndGet();
        write(toVm, reply.get(0).substring(0, Math.min(3, reply.get(0).length())));
        toVm.flush();
        throw new IOException("cut off");
      }
      answer(reply);
    }

    /** Refuses a message in the place of the backend, or cuts the connection. */
    private boolean interfere(String id, String text) throws IOException {
      boolean setup = text.startsWith("SET ") || text.startsWith("PREPARE ") || text.equals("RESET");
      if (setup) {
        setups.incrementAndGet();
      }
      if (setup && happens(trouble.refusedSetup())) {
        refuse("BUSY");
        return true;
      }
      if (text.equals("RESET") && silentAtReset.getAndUpdate(left -> Math.max(0, left - 1)) > 0) {
        interfered.incrementAndGet();
        while (fromVm.read() >= 0) {
          // The connection stays open and is never answered on.
        }
        throw new IOException("closed by the VM");
      }
      if (text.startsWith("EXECUTE ") && happens(trouble.unknownNames())) {
        prepared.clear();
        refuse("NOSTMT");
        return true;
      }
      if (happens(trouble.cutBefore())) {
        interfered.incrementAndGet();
        throw new IOException("cut off");
      }
      return false;
    }

    private void refuse(String code) throws IOException {
      interfered.incrementAndGet();
      boolean refusedInTransaction = state.equals("T");
      if (refusedInTransaction) {
        // The backend has to fail its transaction as well.
        write(toBackend, "QUERY - NOTHING");
        toBackend.flush();
        List<String> reply = readReply();
        if (reply.isEmpty()) {
          throw new IOException("the backend closed the connection");
        }
        state = "E";
      }
      answer(List.of("ERROR " + code + " " + endpoint, "READY " + state + " " + position));
    }

    private void onSuccess(
        String id, String text, String before, List<String> reply, String result) {
      if (id.equals("-")) {
        onOwnStatement(text);
        return;
      }
      runs.incrementAndGet();
      Intent intent = intents.get(id);
      if (intent == null) {
        broken(unasked, "UNASKED: nobody sent %s '%s'", abbreviated(id), abbreviated(text));
        return;
      }
      answers.put(id, List.copyOf(reply.subList(0, reply.size() - 1)));
      boolean writes = checkText(id, text, intent);
      checkTransaction(id, text, before, intent);
      if (!values.equals(intent.values())) {
        broken(
            pinned,
            "PINNED: %s ran with %s instead of %s",
            id, abbreviated(values), abbreviated(intent.values()));
      }
      if (intent.isCommit() || writes && before.equals("I")) {
        effects.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
      }
    }

    private boolean checkText(String id, String text, Intent intent) {
      if (!intent.isExecute()) {
        if (!text.equals(intent.text())) {
          broken(
              unasked,
              "UNASKED: sent '%s', ran '%s'", abbreviated(intent.text()), abbreviated(text));
        }
        return text.startsWith("WRITE ");
      }
      String[] words = text.split(" ", 3);
      String shape = words.length < 3 ? null : prepared.get(words[1]);
      boolean sent =
          words[0].equals("EXECUTE") && shape != null && words[2].equals(intent.arguments());
      if (!sent) {
        broken(
            unasked,
            "UNASKED: sent '%s' of '%s', ran '%s' of '%s'",
            abbreviated(intent.text()), abbreviated(intent.shape()), abbreviated(text),
            abbreviated(shape));
      } else if (!shape.equals(intent.shape())) {
        broken(
            pinned,
            "PINNED: prepared '%s', ran '%s'", abbreviated(intent.shape()), abbreviated(shape));
      }
      return shape != null && shape.startsWith("WRITE ");
    }

    private void checkTransaction(String id, String text, String before, Intent intent) {
      if (intent.transaction() == 0) {
        boolean wrapped = before.equals("T") && transaction == -1 && wrappedId.isEmpty();
        if (!before.equals("I") && !wrapped) {
          broken(pinned, "PINNED: %s ran inside transaction %d", id, transaction);
        }
        if (before.equals("T")) {
          wrappedId = id;
        }
        return;
      }
      if (!before.equals("T") || !wrappedId.isEmpty()) {
        broken(pinned, "PINNED: %s '%s' ran outside its transaction", id, abbreviated(text));
        return;
      }
      if (transaction == -1) {
        transaction = intent.transaction();
        session = intent.session();
      } else if (transaction != intent.transaction()) {
        broken(
            pinned,
            "PINNED: %s of transaction %d ran in %d", id, intent.transaction(), transaction);
      }
    }

    private void onOwnStatement(String text) {
      String[] words = text.split(" ", 4);
      switch (words[0]) {
        case "SET" -> {
          String[] parts = text.split(" ", 3);
          values.put(parts[1], parts.length > 2 ? parts[2] : "");
        }
        case "RESET" -> {
          values.clear();
          prepared.clear();
        }
        case "PREPARE" -> {
          String shape = words.length > 3 ? words[3] : "";
          prepared.put(words[1], words[2] + " " + shape);
        }
        case "DEALLOC" -> prepared.remove(words[1]);
        case "BEGIN" -> {
          transaction = -1;
          wrappedId = "";
        }
        case "COMMIT" ->
            broken(unasked, "UNASKED: nobody asked for the commit of %d", transaction);
        case "ROLLBACK", "STATUS" -> {}
        default -> broken(unasked, "UNASKED: nobody sent '%s'", abbreviated(text));
      }
    }

    private boolean relayReply(List<String> reply) throws IOException {
      String line = readLine(fromBackend, false);
      if (line == null) {
        return false;
      }
      reply.add(line);
      answer(reply);
      if (line.startsWith("READY ")) {
        position = line.split(" ")[2];
        return true;
      }
      return false;
    }

    private List<String> readReply() throws IOException {
      List<String> reply = new ArrayList<>();
      String line;
      while ((line = readLine(fromBackend, false)) != null) {
        reply.add(line);
        if (line.startsWith("READY ")) {
          return reply;
        }
      }
      return List.of();
    }

    private void answer(List<String> lines) throws IOException {
      if (!happens(trouble.pieces())) {
        for (String line : lines) {
          write(toVm, line);
        }
        toVm.flush();
        return;
      }
      interfered.incrementAndGet();
      String text = String.join("\r\n", lines) + "\r\n";
      for (byte next : text.getBytes(StandardCharsets.ISO_8859_1)) {
        toVm.write(next);
        toVm.flush();
        Thread.yield();
      }
    }

    private String readLine(InputStream input, boolean fromVm) throws IOException {
      StringBuilder line = new StringBuilder();
      int next;
      while ((next = input.read()) >= 0) {
        if (next == '\n') {
          if (line.length() == 0 || line.charAt(line.length() - 1) != '\r') {
            broken(unasked, "UNASKED: a line without CR at %s", endpoint);
          }
          line.setLength(Math.max(0, line.length() - 1));
          if (fromVm && line.length() > MAXIMUM_MESSAGE_IN_BYTES) {
            oversized.incrementAndGet();
            recorder.log("OVERSIZED %d at %s: %s", line.length(), endpoint, abbreviated(line));
            throw new IOException("message too long");
          }
          return line.toString();
        }
        line.append((char) next);
      }
      return null;
    }

    private void write(OutputStream output, String line) throws IOException {
      output.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    }
  }
}
