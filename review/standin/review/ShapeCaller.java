package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client as the protocol page describes it: prepares under few names, sets values, runs single
 * statements and transactions, reconnects after failures, and checks each success that it gets.
 */
final class ShapeCaller {
  private static final AtomicLong TRANSACTIONS = new AtomicLong();
  private static final boolean SETS_VALUES = !"0".equals(System.getenv("VALUES"));
  private static final AtomicInteger SESSIONS = new AtomicInteger();
  private static final String[] NAMES = {"s1", "s2", "s3"};
  private static final String[] VALUE_NAMES = {"v1", "v2", "v3"};
  private static final List<String> PROMISES =
      List.of("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT");

  /** What the callers send. */
  record Vocabulary(List<String> shapes, List<String> values, List<String> items) {}

  /** What the callers got. */
  record Totals(
      AtomicInteger succeeded,
      AtomicInteger mixed,
      AtomicInteger refusedButKept,
      AtomicInteger twice,
      Map<String, AtomicInteger> errors) {
    Totals() {
      this(
          new AtomicInteger(),
          new AtomicInteger(),
          new AtomicInteger(),
          new AtomicInteger(),
          new ConcurrentHashMap<>());
    }
  }

  private record Answer(List<String> lines, String result, String state) {
    boolean isSuccess() {
      return result.startsWith("COMPLETE");
    }

    String code() {
      return isSuccess() ? "" : result.split(" ")[1];
    }
  }

  private final Deployment deployment;
  private final Inspection inspection;
  private final Vocabulary vocabulary;
  private final Totals totals;
  private final Fleet.Vm vm;
  private final String database;
  private final Random random;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, String> prepared = new HashMap<>();
  private Socket socket;
  private InputStream input;
  private OutputStream output;
  private int session;
  private long transaction;

  ShapeCaller(
      Deployment deployment,
      Inspection inspection,
      Vocabulary vocabulary,
      Totals totals,
      Fleet.Vm vm,
      String database,
      long seed) {
    this.deployment = deployment;
    this.inspection = inspection;
    this.vocabulary = vocabulary;
    this.totals = totals;
    this.vm = vm;
    this.database = database;
    this.random = new Random(seed);
  }

  void play(double end) {
    while (Recorder.now() < end) {
      try {
        open();
        while (Recorder.now() < end) {
          step();
          Thread.sleep(40 + random.nextInt(100));
        }
      } catch (IOException e) {
        deployment.recorder.log("session %d: %s", session, e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      } finally {
        close();
      }
    }
  }

  private void open() throws IOException {
    session = SESSIONS.incrementAndGet();
    values.clear();
    prepared.clear();
    transaction = 0;
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(8_000);
    socket.connect(new InetSocketAddress(vm.ip, vm.front), 2_000);
    input = new BufferedInputStream(socket.getInputStream());
    output = socket.getOutputStream();
    write("START " + database + " " + Deployment.KEY);
    String line = readLine();
    if (line == null || !line.startsWith("READY I")) {
      throw new IOException("START was answered with " + line);
    }
  }

  private void close() {
    try {
      if (socket != null) {
        socket.close();
      }
    } catch (IOException e) {
      // The connection is gone already.
    }
  }

  private void step() throws IOException, InterruptedException {
    int choice = random.nextInt(100);
    if (choice < 40) {
      statement();
    } else if (choice < 75) {
      sessionStatement();
    } else {
      transaction();
    }
  }

  private boolean writes() {
    return database.equals(Deployment.PRIMARY_DATABASE) || random.nextInt(3) == 0;
  }

  private void sessionStatement() throws IOException {
    int choice = random.nextInt(10);
    String name = NAMES[random.nextInt(NAMES.length)];
    if (choice < 4 && SETS_VALUES) {
      String valueName = VALUE_NAMES[random.nextInt(VALUE_NAMES.length)];
      String value = any(vocabulary.values());
      expect(send("SET " + valueName + " " + value, "", ""));
      values.put(valueName, value);
    } else if (choice < 9 || !prepared.containsKey(name)) {
      String shape = (writes() ? "WRITE " : "READ ") + any(vocabulary.shapes());
      expect(send("PREPARE " + name + " " + shape, "", ""));
      prepared.put(name, shape);
    } else {
      expect(send("DEALLOC " + name, "", ""));
      prepared.remove(name);
    }
  }

  private void expect(Answer answer) throws IOException {
    if (!answer.isSuccess()) {
      throw new IOException("session statement: " + answer.result());
    }
  }

  private String any(List<String> texts) {
    return texts.get(random.nextInt(texts.size()));
  }

  private Answer statement() throws IOException {
    String name = NAMES[random.nextInt(NAMES.length)];
    String shape = prepared.get(name);
    boolean maySend =
        transaction == 0 || shape == null || shape.startsWith("READ ") || transactionWrites;
    if (shape != null && random.nextInt(5) > 0 && maySend) {
      String arguments = any(vocabulary.items());
      if (shape.startsWith("WRITE ")) {
        arguments += " " + Long.toString(random.nextLong() >>> 1, 36);
      }
      return send("EXECUTE " + name + " " + arguments, shape, arguments);
    }
    boolean write = transaction == 0 ? writes() && random.nextInt(3) == 0 : transactionWrites;
    return write
        ? send("WRITE " + any(vocabulary.items()) + " x" + random.nextInt(1_000), "", "")
        : send("READ " + any(vocabulary.items()), "", "");
  }

  private boolean transactionWrites;

  private void transaction() throws IOException, InterruptedException {
    transactionWrites = writes();
    expect(send(transactionWrites ? "BEGIN" : "BEGIN READ", "", ""));
    transaction = TRANSACTIONS.incrementAndGet();
    int statements = 1 + random.nextInt(5);
    for (int index = 0; index < statements; index++) {
      if (random.nextInt(4) == 0) {
        sessionStatement();
        continue;
      }
      Answer answer = statement();
      if (!answer.isSuccess()) {
        end("ROLLBACK");
        return;
      }
      Thread.sleep(random.nextInt(25));
    }
    int choice = random.nextInt(20);
    if (choice == 0) {
      throw new IOException("leaves a transaction");
    }
    end(choice < 5 ? "ROLLBACK" : "COMMIT");
  }

  private void end(String text) throws IOException {
    Answer answer = send(text, "", "");
    transaction = 0;
    if (!answer.state().equals("I")) {
      throw new IOException("outside a transaction in state " + answer.state());
    }
  }

  private Answer send(String text, String shape, String arguments) throws IOException {
    String id = Client.newId();
    inspection.intents.put(
        id, new Intent(session, transaction, text, shape, arguments, Map.copyOf(values)));
    deployment.recorder.log("session %d at %s sends %s %s", session, vm.name, id, brief(text));
    write("QUERY " + id + " " + text);
    List<String> lines = new ArrayList<>();
    String line;
    while ((line = readLine()) != null) {
      if (line.startsWith("READY ")) {
        Answer answer = new Answer(lines, lines.get(lines.size() - 1), line.split(" ")[1]);
        check(id, text, answer);
        return answer;
      }
      lines.add(line);
    }
    count("closed");
    throw new IOException("connection ended without an answer to " + id);
  }

  private static String brief(String text) {
    return text.length() <= 100 ? text : text.substring(0, 100) + "...";
  }

  private void count(String what) {
    totals.errors().computeIfAbsent(what, key -> new AtomicInteger()).incrementAndGet();
  }

  private void check(String id, String text, Answer answer) {
    deployment.recorder.log("session %d gets for %s: %s", session, id, brief(answer.result()));
    AtomicInteger effects = inspection.effects.get(id);
    if (effects != null && effects.get() > 1) {
      totals.twice().incrementAndGet();
      deployment.recorder.violation("TWICE: %s %s took effect %s times", id, brief(text), effects);
    }
    if (!answer.isSuccess()) {
      count(answer.code());
      if (effects != null && PROMISES.contains(answer.code())) {
        totals.refusedButKept().incrementAndGet();
        deployment.recorder.violation("REFUSED: %s %s got %s", id, brief(text), answer.result());
      }
      return;
    }
    boolean forwarded =
        text.startsWith("READ ")
            || text.startsWith("WRITE ")
            || text.startsWith("EXECUTE ")
            || text.equals("COMMIT");
    if (!forwarded) {
      return;
    }
    totals.succeeded().incrementAndGet();
    List<String> sent = inspection.answers.get(id);
    if (sent == null || sent.size() != answer.lines().size() || !lastsAgree(sent, answer)) {
      totals.mixed().incrementAndGet();
      deployment.recorder.violation(
          "MIXED: %s %s was answered with %s, the backend's answer is %s",
          id, brief(text), answer.lines(), sent);
    }
  }

  /** A read may have run more than once; then only its signature's id is compared. */
  private static boolean lastsAgree(List<String> sent, Answer answer) {
    String received = answer.result();
    return sent.equals(answer.lines())
        || received.substring(received.lastIndexOf('.'))
            .equals(sent.get(sent.size() - 1).substring(sent.get(sent.size() - 1).lastIndexOf('.')));
  }

  private void write(String line) throws IOException {
    output.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
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
}
