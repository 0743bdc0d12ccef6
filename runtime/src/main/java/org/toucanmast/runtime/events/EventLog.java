package org.toucanmast.runtime.events;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines as JSON on a thread of its own, so that logging never blocks.
 *
 * <p>Each kind has a limit of lines per second; lines above it are suppressed, and the next line of
 * that kind gives their number. Lines are dropped while the queue to the writer thread is full, and
 * the next line that is queued gives their number.
 */
public final class EventLog {
  /** Duration from which a statement is logged as slow: several times the usual duration. */
  public static final long SLOW_THRESHOLD_IN_MILLISECONDS = 200;

  /** Maximum number of lines that wait for the writer thread; a line has about 200 bytes. */
  private static final int QUEUE_CAPACITY = 2_048;

  /** Maximum length of these lines; callers decide on that of some. */
  private static final long MAXIMUM_QUEUED_CHARACTERS = 1024 * 1024;

  /** Length to which texts of callers and endpoints, such as request ids of 1 MiB, are cut. */
  private static final int MAXIMUM_VALUE_LENGTH = 4_000;

  private static final Set<String> COMMON_FIELDS = Set.of("time", "vm", "kind", "event");

  private static final long MILLISECONDS_PER_SECOND = 1_000;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
  private final JsonFactory json = new JsonFactory();
  private final String vm;
  private final int[] linesInSecond = new int[EventKind.values().length];
  private final int[] suppressed = new int[EventKind.values().length];
  private final AtomicLong unwritten = new AtomicLong();
  private final AtomicLong queuedCharacters = new AtomicLong();
  private long currentSecond;
  private int dropped;

  /**
   * Creates the log and starts its writer thread.
   *
   * @param vm the name of the VM, given in each line
   * @param out where the lines are written
   */
  public EventLog(String vm, OutputStream out) {
    this.vm = vm;
    Thread writer = new Thread(() -> write(out), "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Queues a line, unless the limit of its kind is reached or the queue is full.
   *
   * @param event a short constant text that describes the event
   * @param fields field names and values, alternating
   */
  public synchronized void log(EventKind kind, String event, Object... fields) {
    long now = System.currentTimeMillis();
    if (now / MILLISECONDS_PER_SECOND != currentSecond) {
      currentSecond = now / MILLISECONDS_PER_SECOND;
      Arrays.fill(linesInSecond, 0);
    }
    int index = kind.ordinal();
    if (linesInSecond[index]++ >= kind.linesPerSecond()) {
      suppressed[index]++;
      return;
    }
    String line = line(now, kind, event, fields);
    boolean fits = queuedCharacters.get() + line.length() <= MAXIMUM_QUEUED_CHARACTERS;
    unwritten.incrementAndGet();
    queuedCharacters.addAndGet(line.length());
    if (fits && queue.offer(line)) {
      suppressed[index] = 0;
      dropped = 0;
    } else {
      unwritten.decrementAndGet();
      queuedCharacters.addAndGet(-line.length());
      dropped++;
    }
  }

  /** Returns the length of the lines that wait to be written, in characters. */
  public long queuedCharacters() {
    return queuedCharacters.get();
  }

  /**
   * Waits until the lines logged so far are written, because the process is about to end.
   *
   * @param timeoutInMilliseconds how long to wait while the output accepts no lines
   */
  public void flush(long timeoutInMilliseconds) {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutInMilliseconds);
    try {
      while (unwritten.get() > 0 && System.nanoTime() < deadline) {
        Thread.sleep(1);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private String line(long now, EventKind kind, String event, Object... fields) {
    StringWriter text = new StringWriter();
    try (JsonGenerator line = json.createGenerator(text)) {
      line.writeStartObject();
      line.writeNumberField("time", now);
      line.writeStringField("vm", vm);
      line.writeStringField("kind", kind.name());
      line.writeStringField("event", event);
      for (int index = 0; index + 1 < fields.length; index += 2) {
        writeField(line, fieldName(fields[index]), fields[index + 1]);
      }
      if (suppressed[kind.ordinal()] > 0) {
        line.writeNumberField("left_out", suppressed[kind.ordinal()]);
      }
      if (dropped > 0) {
        line.writeNumberField("dropped", dropped);
      }
      line.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("cannot build a log line in memory", e);
    }
    return text.append('\n').toString();
  }

  /** Renames a field that has the name of a common field, which it would hide from readers. */
  private static String fieldName(Object field) {
    String name = String.valueOf(field);
    return COMMON_FIELDS.contains(name) ? name + "_of_request" : name;
  }

  private static void writeField(JsonGenerator line, String name, Object value) throws IOException {
    line.writeFieldName(name);
    if (value instanceof Long || value instanceof Integer) {
      line.writeNumber(((Number) value).longValue());
    } else if (value instanceof Boolean flag) {
      line.writeBoolean(flag);
    } else {
      String text = String.valueOf(value);
      line.writeString(
          text.length() <= MAXIMUM_VALUE_LENGTH
              ? text
              : text.substring(0, MAXIMUM_VALUE_LENGTH) + "… (" + text.length() + " characters)");
    }
  }

  private void write(OutputStream out) {
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(queue.take());
        int lines = 1;
        for (String next = queue.poll(); next != null; next = queue.poll()) {
          batch.append(next);
          lines++;
        }
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        unwritten.addAndGet(-lines);
        queuedCharacters.addAndGet(-batch.length());
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The output is closed, and there is no other output to report this to.
      queue.clear();
    }
  }
}
