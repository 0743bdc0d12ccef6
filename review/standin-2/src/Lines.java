import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/** Lines that end with CR LF, one character for each byte. */
final class Lines {
  private Lines() {}

  /** Returns the next line without its end; null at the end of the stream. */
  static String read(InputStream input) throws IOException {
    StringBuilder line = new StringBuilder();
    int next = input.read();
    while (next >= 0) {
      if (next == '\n' && line.length() > 0 && line.charAt(line.length() - 1) == '\r') {
        return line.substring(0, line.length() - 1);
      }
      line.append((char) next);
      next = input.read();
    }
    return null;
  }

  static void write(OutputStream output, String line) throws IOException {
    output.write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    output.flush();
  }
}
