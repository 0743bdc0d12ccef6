package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/** Writes what was sent, answered and run, with the time in milliseconds since the start. */
final class Recorder implements AutoCloseable {
  private static final long START = System.nanoTime();

  private final PrintWriter writer;
  private final AtomicInteger violations = new AtomicInteger();

  Recorder(Path file) throws IOException {
    writer = new PrintWriter(Files.newBufferedWriter(file));
  }

  static double now() {
    return (System.nanoTime() - START) / 1e6;
  }

  synchronized void log(String format, Object... arguments) {
    writer.printf("%10.1f %s%n", now(), String.format(format, arguments));
  }

  /** Records that the rule was broken. */
  void violation(String format, Object... arguments) {
    violations.incrementAndGet();
    log("BROKEN " + format, arguments);
  }

  int violations() {
    return violations.get();
  }

  /** Writes a line to the record and to standard output. */
  void say(String format, Object... arguments) {
    log(format, arguments);
    System.out.printf(format + "%n", arguments);
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
