import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A session of a client. */
final class Client implements AutoCloseable {
  /** The lines of an answer before READY, and the fields of READY. */
  record Answer(List<String> lines, String state, String position) {
    String result() {
      return lines.isEmpty() ? "" : lines.get(lines.size() - 1);
    }

    boolean isSuccess() {
      return result().startsWith("COMPLETE");
    }

    List<String> rows() {
      return lines.stream().filter(l -> l.startsWith("ROW ")).map(l -> l.substring(4)).toList();
    }
  }

  private final Socket socket = new Socket();
  private final InputStream input;
  private final OutputStream output;

  Client(Fleet.Vm vm, int timeoutMs) throws IOException {
    socket.connect(new InetSocketAddress(vm.ip, vm.callerPort), 2_000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMs);
    input = new BufferedInputStream(socket.getInputStream(), 64 * 1024);
    output = socket.getOutputStream();
  }

  /** Opens the session. */
  Answer open(String database, String key) throws IOException {
    send("START " + database + " " + key);
    return answer();
  }

  void send(String line) throws IOException {
    Lines.write(output, line);
  }

  /** Sends lines in one piece. */
  void sendAll(List<String> lines) throws IOException {
    StringBuilder text = new StringBuilder();
    lines.forEach(line -> text.append(line).append("\r\n"));
    output.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }

  Answer query(String id, String text) throws IOException {
    send("QUERY " + id + " " + text);
    return answer();
  }

  /** Reads an answer. */
  Answer answer() throws IOException {
    List<String> lines = new ArrayList<>();
    while (true) {
      String line = Lines.read(input);
      if (line == null) {
        throw new IOException("closed after " + lines);
      }
      if (line.startsWith("READY ")) {
        String[] words = line.split(" ");
        return new Answer(lines, words[1], words[2]);
      }
      lines.add(line);
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
