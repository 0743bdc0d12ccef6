package org.toucanmast.runtime.store;

import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.StoredObject;

/**
 * Passes on what a mirror reports, and keeps failures of the receiver away from the mirror.
 *
 * <p>Any writer may leave an object in the store. One that a receiver fails on must not keep the
 * others, or later changes, from it.
 */
final class GuardedListener implements KindMirror.Listener {
  private final KindMirror.Listener listener;
  private final String kind;
  private final EventLog log;

  GuardedListener(KindMirror.Listener listener, String kind, EventLog log) {
    this.listener = listener;
    this.kind = kind;
    this.log = log;
  }

  @Override
  public void onObject(StoredObject object, long changedSince) {
    guard(object.name(), () -> listener.onObject(object, changedSince));
  }

  @Override
  public void onObjectRemoved(String name) {
    guard(name, () -> listener.onObjectRemoved(name));
  }

  @Override
  public void onObjectOutdatedInStore(String name) {
    guard(name, () -> listener.onObjectOutdatedInStore(name));
  }

  @Override
  public void onAllObjects() {
    guard("", listener::onAllObjects);
  }

  private void guard(String object, Runnable report) {
    try {
      report.run();
    } catch (RuntimeException | StackOverflowError e) {
      StackTraceElement[] trace = e.getStackTrace();
      log.log(
          EventKind.ERROR,
          "object of the store not taken over",
          "objects",
          kind,
          "object",
          object,
          "error",
          e,
          "at",
          trace.length > 0 ? trace[0] : "unknown");
    }
  }
}
