package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A session of a client: sends one request at a time and reads its answer to the end. */
final class Client implements AutoCloseable {
  private static final AtomicLong IDS = new AtomicLong();

  /** A complete answer. */
  record Answer(String result, String state) {
    boolean isSuccess() {
      return result.startsWith("COMPLETE");
    }
  }

  final String name;
  private final Recorder recorder;
  private final Socket socket;
  private final InputStream input;
  private final OutputStream output;
  volatile String lastId = "";
  volatile double lastSentAt;

  Client(String name, Fleet.Vm vm, int timeoutInMilliseconds, Recorder recorder)
      throws IOException {
    this.name = name;
    this.recorder = recorder;
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutInMilliseconds);
    socket.connect(new InetSocketAddress(vm.ip, vm.front), 2_000);
    input = new BufferedInputStream(socket.getInputStream());
    output = socket.getOutputStream();
  }

  /** Opens the session; fails if the answer is not READY. */
  void open(String database, String key) throws IOException {
    write("START " + database + " " + key);
    String line = readLine();
    if (line == null || !line.startsWith("READY")) {
      throw new IOException("START was answered with " + line);
    }
  }

  static String newId() {
    return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
  }

  /** Sends a request and returns its complete answer. */
  Answer query(String text) throws IOException {
    return query(newId(), text);
  }

  Answer query(String id, String text) throws IOException {
    lastId = id;
    lastSentAt = Recorder.now();
    recorder.log("%s sends %.60s %.200s", name, id, text);
    write("QUERY " + id + " " + text);
    String result = null;
    while (true) {
      String line = readLine();
      if (line == null) {
        recorder.log("%s connection ended without an answer to %s", name, id);
        throw new IOException("connection ended");
      }
      if (line.startsWith("READY")) {
        recorder.log("%s gets for %.60s: %s, %s", name, id, result, line);
        return new Answer(String.valueOf(result), line.split(" ")[1]);
      }
      if (!line.startsWith("ROW")) {
        result = line;
      }
    }
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

  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException e) {
      // The connection is gone already.
    }
  }
}
