package org.toucanmast.runtime.session;

import io.vertx.core.streams.ReadStream;
import java.util.concurrent.Executor;

/**
 * Decides whether bytes are read from a caller's connection: not while what it has sent, or the
 * answers to it, wait in a full queue.
 */
final class SessionReading {
  private final ReadStream<?> connection;
  private final Executor later;
  private boolean inputFull;
  private boolean outputFull;
  private boolean paused;
  private boolean inputMayBeUnread;

  /**
   * Creates the decision for a connection that is being read.
   *
   * @param later runs actions after the present one: reading goes on after the message that is
   *     being handled, since the next ones may be delivered at once
   */
  SessionReading(ReadStream<?> connection, Executor later) {
    this.connection = connection;
    this.later = later;
  }

  /** Sets whether as many messages wait as may be read ahead. */
  void setInputFull(boolean full) {
    inputFull = full;
    update();
  }

  /** Sets whether the write queue is full. */
  void setOutputFull(boolean full) {
    outputFull = full;
    update();
  }

  private void update() {
    if (mustPause() && !paused) {
      paused = true;
      inputMayBeUnread = true;
      connection.pause();
    } else if (!mustPause() && paused) {
      later.execute(this::resume);
    }
  }

  private void resume() {
    if (!mustPause() && paused) {
      paused = false;
      connection.resume();
    }
  }

  private boolean mustPause() {
    return inputFull || outputFull;
  }

  /** Returns whether reading was paused since the last call, so that input may be unread. */
  boolean takeInputMayBeUnread() {
    boolean unread = inputMayBeUnread;
    inputMayBeUnread = false;
    return unread;
  }
}
