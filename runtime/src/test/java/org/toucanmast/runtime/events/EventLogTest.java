package org.toucanmast.runtime.events;

import static org.assertj.core.api.Assertions.assertThat;
import static org.awaitility.Awaitility.await;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

class EventLogTest {

  /** Blocks each write until the latch is released. */
  private static final class BlockedOutputStream extends OutputStream {
    private final CountDownLatch unblocked = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int value) throws IOException {
      try {
        unblocked.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      synchronized (written) {
        written.write(value);
      }
    }

    private String text() {
      synchronized (written) {
        return written.toString(StandardCharsets.UTF_8);
      }
    }
  }

  @Test
  void should_write_one_json_object_for_each_event() {
    BlockedOutputStream out = new BlockedOutputStream();
    out.unblocked.countDown();
    new EventLog("vm-1", out)
        .log(EventKind.LEADER, "leader", "group", "g", "term", 4L, "known", true);

    await().untilAsserted(() -> assertThat(out.text()).endsWith("\n"));
    assertThat(out.text())
        .contains("\"vm\":\"vm-1\"", "\"kind\":\"LEADER\"", "\"term\":4", "\"known\":true");
  }

  /** Guards against a heap that is filled by long lines while the output accepts none. */
  @Test
  void should_drop_lines_beyond_a_length_that_wait_for_the_output() {
    BlockedOutputStream out = new BlockedOutputStream();
    EventLog log = new EventLog("vm-1", out);
    String text = "x".repeat(4_000);
    int kinds = EventKind.values().length;
    for (int line = 0; line < 3_000; line++) {
      log.log(EventKind.values()[line % kinds], "long", "a", text, "b", text, "c", text);
    }

    assertThat(log.queuedCharacters()).isBetween(100_000L, 1024L * 1024);
    out.unblocked.countDown();
    await().untilAsserted(() -> assertThat(log.queuedCharacters()).isZero());
    await()
        .until(
            () -> {
              log.log(EventKind.CLOCK, "after");
              return out.text().contains("\"dropped\":");
            });
  }

  @Test
  void should_rename_a_field_that_has_the_name_of_a_common_field() {
    BlockedOutputStream out = new BlockedOutputStream();
    out.unblocked.countDown();
    new EventLog("vm-1", out).log(EventKind.REQUEST_FAILED, "failed", "kind", "PRIMARY");

    await().untilAsserted(() -> assertThat(out.text()).endsWith("\n"));
    assertThat(out.text())
        .containsOnlyOnce("\"kind\":")
        .contains("\"kind\":\"REQUEST_FAILED\"", "\"kind_of_request\":\"PRIMARY\"");
  }

  @Test
  @Timeout(30)
  void should_not_block_when_the_output_is_blocked() {
    BlockedOutputStream out = new BlockedOutputStream();
    EventLog log = new EventLog("vm-1", out);
    for (int i = 0; i < 50_000; i++) {
      for (EventKind kind : EventKind.values()) {
        log.log(kind, "event", "number", i);
      }
    }
    out.unblocked.countDown();
    await().untilAsserted(() -> assertThat(out.text()).contains("\"event\":\"event\""));
  }

  @Test
  void should_report_the_number_of_suppressed_lines() {
    BlockedOutputStream out = new BlockedOutputStream();
    out.unblocked.countDown();
    EventLog log = new EventLog("vm-1", out);
    for (int i = 0; i < 200; i++) {
      log.log(EventKind.REQUEST_SERVED, "served", "number", i);
    }
    await()
        .untilAsserted(
            () -> {
              log.log(EventKind.REQUEST_SERVED, "served");
              assertThat(out.text()).contains("\"left_out\":");
            });
  }

  @Test
  void should_have_written_all_lines_when_a_flush_returns() {
    BlockedOutputStream out = new BlockedOutputStream();
    out.unblocked.countDown();
    EventLog log = new EventLog("vm-1", out);
    log.log(EventKind.PROCESS, "stopping");
    log.log(EventKind.PROCESS, "stopped");
    log.flush(10_000);

    assertThat(out.text()).contains("stopping").contains("stopped");
  }

  @Test
  @Timeout(10)
  void should_not_wait_for_an_output_that_is_blocked_longer_than_the_timeout_of_a_flush() {
    EventLog log = new EventLog("vm-1", new BlockedOutputStream());
    log.log(EventKind.PROCESS, "stopped");

    log.flush(50);
  }

  /** Lines with request ids of nearly 1 MiB could fill the heap while they wait for the writer. */
  @Test
  void should_cut_long_values() {
    BlockedOutputStream out = new BlockedOutputStream();
    out.unblocked.countDown();
    new EventLog("vm-1", out)
        .log(EventKind.REQUEST_FAILED, "failed", "request", "x".repeat(1_000_000));

    await().untilAsserted(() -> assertThat(out.text()).endsWith("\n"));
    assertThat(out.text())
        .hasSizeLessThan(5_000)
        .contains("\"" + "x".repeat(4_000) + "… (1000000 characters)\"");
  }
}
