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

  /** Takes nothing until it is opened. */
  private static final class StuckOutput extends OutputStream {
    private final CountDownLatch open = new CountDownLatch(1);
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();

    @Override
    public void write(int value) throws IOException {
      try {
        open.await();
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
    StuckOutput out = new StuckOutput();
    out.open.countDown();
    new EventLog("vm-1", out)
        .log(EventKind.LEADER, "leader", "group", "g", "term", 4L, "known", true);

    await().untilAsserted(() -> assertThat(out.text()).endsWith("\n"));
    assertThat(out.text())
        .contains("\"vm\":\"vm-1\"", "\"kind\":\"LEADER\"", "\"term\":4", "\"known\":true");
  }

  @Test
  void should_not_let_a_field_hide_the_kind_of_the_line() {
    StuckOutput out = new StuckOutput();
    out.open.countDown();
    new EventLog("vm-1", out).log(EventKind.REQUEST_FAILED, "failed", "kind", "PRIMARY");

    await().untilAsserted(() -> assertThat(out.text()).endsWith("\n"));
    assertThat(out.text())
        .containsOnlyOnce("\"kind\":")
        .contains("\"kind\":\"REQUEST_FAILED\"", "\"kind_of_request\":\"PRIMARY\"");
  }

  @Test
  @Timeout(30)
  void should_never_wait_for_a_reader_that_does_not_read() {
    StuckOutput out = new StuckOutput();
    EventLog log = new EventLog("vm-1", out);
    for (int i = 0; i < 50_000; i++) {
      for (EventKind kind : EventKind.values()) {
        log.log(kind, "event", "number", i);
      }
    }
    out.open.countDown();
    await().untilAsserted(() -> assertThat(out.text()).contains("\"event\":\"event\""));
  }

  @Test
  void should_state_how_many_lines_were_left_out() {
    StuckOutput out = new StuckOutput();
    out.open.countDown();
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
}
