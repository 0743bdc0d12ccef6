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

/**
 * Writes log lines as JSON from a thread of its own; the callers never wait.
 *
 * <p>Each kind has a budget of lines a second; the next line of the kind states how many were left
 * out. A full ring drops lines, and the next line states that, too.
 */
public final class EventLog {
  /** A statement that takes this long gets a line of its own: several times a usual one. */
  public static final long SLOW_THRESHOLD_IN_MILLISECONDS = 200;

  /** Lines that wait for the writer; some 200 bytes each. */
  private static final int RING_CAPACITY = 2_048;

  private static final Set<String> COMMON = Set.of("time", "vm", "kind", "event");

  private static final long SECOND_IN_MILLISECONDS = 1_000;

  private final BlockingQueue<String> ring = new ArrayBlockingQueue<>(RING_CAPACITY);
  private final JsonFactory json = new JsonFactory();
  private final String vm;
  private final int[] used = new int[EventKind.values().length];
  private final int[] leftOut = new int[EventKind.values().length];
  private long second;
  private int dropped;

  /**
   * Starts the writer.
   *
   * @param vm the name that each line carries
   */
  public EventLog(String vm, OutputStream out) {
    this.vm = vm;
    Thread writer = new Thread(() -> write(out), "log");
    writer.setDaemon(true);
    writer.start();
  }

  /**
   * Writes a line, if the kind's budget allows.
   *
   * @param what what happened, in a few fixed words
   * @param fields names and values in turn
   */
  public synchronized void log(EventKind kind, String what, Object... fields) {
    long now = System.currentTimeMillis();
    if (now / SECOND_IN_MILLISECONDS != second) {
      second = now / SECOND_IN_MILLISECONDS;
      Arrays.fill(used, 0);
    }
    int index = kind.ordinal();
    if (used[index]++ >= kind.linesPerSecond()) {
      leftOut[index]++;
      return;
    }
    if (ring.offer(line(now, kind, what, fields))) {
      leftOut[index] = 0;
      dropped = 0;
    } else {
      dropped++;
    }
  }

  private String line(long now, EventKind kind, String what, Object... fields) {
    StringWriter text = new StringWriter();
    try (JsonGenerator line = json.createGenerator(text)) {
      line.writeStartObject();
      line.writeNumberField("time", now);
      line.writeStringField("vm", vm);
      line.writeStringField("kind", kind.name());
      line.writeStringField("event", what);
      for (int index = 0; index + 1 < fields.length; index += 2) {
        writeField(line, nameOf(fields[index]), fields[index + 1]);
      }
      if (leftOut[kind.ordinal()] > 0) {
        line.writeNumberField("left_out", leftOut[kind.ordinal()]);
      }
      if (dropped > 0) {
        line.writeNumberField("dropped", dropped);
      }
      line.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory", e);
    }
    return text.append('\n').toString();
  }

  /** A field named like a common one would hide that one from readers. */
  private static String nameOf(Object field) {
    String name = String.valueOf(field);
    return COMMON.contains(name) ? name + "_of_request" : name;
  }

  private static void writeField(JsonGenerator line, String name, Object value) throws IOException {
    line.writeFieldName(name);
    if (value instanceof Long || value instanceof Integer) {
      line.writeNumber(((Number) value).longValue());
    } else if (value instanceof Boolean flag) {
      line.writeBoolean(flag);
    } else {
      line.writeString(String.valueOf(value));
    }
  }

  private void write(OutputStream out) {
    try {
      while (true) {
        StringBuilder batch = new StringBuilder(ring.take());
        for (String next = ring.poll(); next != null; next = ring.poll()) {
          batch.append(next);
        }
        out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      // The reader of the log is gone, and there is no other place to tell it.
      ring.clear();
    }
  }
}
