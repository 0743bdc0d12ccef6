package org.toucanmast.runtime.store;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;

/**
 * Follows all objects of one kind: lists them once, then watches.
 *
 * <p>A lost watch goes on where it was; only when the store has dropped that history, or the VM was
 * without the store for long, the kind is listed again.
 */
public final class KindMirror {
  /** First pause after a failed call, in milliseconds; doubles up to the longest. */
  private static final long FIRST_PAUSE_IN_MILLISECONDS = 100;

  /** Longest pause after failed calls, so that a change is seen soon after an outage. */
  private static final long LONGEST_PAUSE_IN_MILLISECONDS = 800;

  /** Changes that come within this time after a change are fetched together, in milliseconds. */
  private static final long GATHERING_IN_MILLISECONDS = 100;

  /** What is done with what the store holds; all calls come on the VM's thread. */
  public interface Listener {
    /** An object was added or changed. */
    void onObject(StoredObject object);

    /** An object is gone. */
    void onGone(String name);

    /** All objects that the store holds have been reported. */
    default void onListed() {}
  }

  private final Vertx vertx;
  private final ObjectStore store;
  private final EventLog log;
  private final String kind;
  private final long waitInMilliseconds;
  private final Listener listener;
  private final Map<String, StoredObject> objects = new HashMap<>();
  private long revision = -1;
  private long changedAt = -1;
  private long pause = FIRST_PAUSE_IN_MILLISECONDS;
  private boolean available;

  /**
   * Creates a mirror; nothing is asked yet.
   *
   * @param waitInMilliseconds how long one watch waits; bounds how long a silent connection is
   *     trusted
   */
  public KindMirror(
      Vertx vertx,
      ObjectStore store,
      EventLog log,
      String kind,
      long waitInMilliseconds,
      Listener listener) {
    this.vertx = vertx;
    this.store = store;
    this.log = log;
    this.kind = kind;
    this.waitInMilliseconds = waitInMilliseconds;
    this.listener = listener;
  }

  /** Begins to follow. */
  public void start() {
    list();
  }

  /** Returns whether the store answered the last call. */
  public boolean isAvailable() {
    return available;
  }

  /** Returns whether all objects have been seen once, from the store or from a peer. */
  public boolean isListed() {
    return changedAt >= 0 || revision >= 0;
  }

  private void list() {
    store.list(kind).onSuccess(this::onListing).onFailure(error -> retry(error, this::list));
  }

  private void onListing(ObjectStore.Listing listing) {
    confirmed();
    replaceAll(listing.objects());
    revision = listing.revision();
    listener.onListed();
    watch();
  }

  private void replaceAll(Collection<StoredObject> all) {
    Set<String> gone = new HashSet<>(objects.keySet());
    for (StoredObject object : all) {
      gone.remove(object.name());
      apply(object);
    }
    for (String name : gone) {
      objects.remove(name);
      listener.onGone(name);
    }
  }

  private void apply(StoredObject object) {
    StoredObject before = objects.get(object.name());
    if (before == null || before.revision() < object.revision()) {
      objects.put(object.name(), object);
      changedAt = Math.max(changedAt, object.revision());
      listener.onObject(object);
    }
  }

  /** Takes what another VM knows, if it is newer and the store does not answer this VM. */
  public void adopt(long otherChangedAt, Collection<StoredObject> all) {
    if (otherChangedAt <= changedAt) {
      return;
    }
    log.log(
        EventKind.DEPENDENCY,
        "taken from a peer",
        "objects",
        kind,
        "revision",
        otherChangedAt,
        "available",
        available);
    if (available) {
      all.forEach(this::apply);
    } else {
      replaceAll(all);
    }
    changedAt = Math.max(changedAt, otherChangedAt);
  }

  /**
   * Returns the store's revision of the last change of an object of this kind, -1 before the first;
   * two VMs that saw the same changes return the same.
   */
  public long changedAt() {
    return changedAt;
  }

  /** Returns all objects that are known. */
  public Collection<StoredObject> objects() {
    return List.copyOf(objects.values());
  }

  private void watch() {
    store
        .watch(kind, revision, waitInMilliseconds)
        .onSuccess(this::onChanges)
        .onFailure(this::onWatchFailed);
  }

  private void onChanges(ObjectStore.Changes changes) {
    confirmed();
    for (ObjectStore.Change change : changes.changes()) {
      changedAt = Math.max(changedAt, change.object().revision());
      if (change.deleted()) {
        if (objects.remove(change.object().name()) != null) {
          listener.onGone(change.object().name());
        }
      } else {
        apply(change.object());
      }
    }
    revision = Math.max(revision, changes.revision());
    if (changes.changes().isEmpty()) {
      watch();
    } else {
      vertx.setTimer(GATHERING_IN_MILLISECONDS, fired -> watch());
    }
  }

  private void onWatchFailed(Throwable error) {
    boolean historyGone =
        error instanceof StoreException failure
            && failure.reason() == StoreException.Reason.HISTORY_GONE;
    if (historyGone) {
      log.log(EventKind.DEPENDENCY, "store history gone", "objects", kind, "revision", revision);
      list();
    } else {
      retry(error, this::watch);
    }
  }

  private void retry(Throwable error, Runnable call) {
    if (available) {
      available = false;
      log.log(EventKind.DEPENDENCY, "store lost", "objects", kind, "reason", error.getMessage());
    }
    vertx.setTimer(pause, fired -> call.run());
    pause = Math.min(LONGEST_PAUSE_IN_MILLISECONDS, pause * 2);
  }

  private void confirmed() {
    pause = FIRST_PAUSE_IN_MILLISECONDS;
    if (!available) {
      available = true;
      log.log(EventKind.DEPENDENCY, "store available", "objects", kind, "revision", revision);
    }
  }
}
