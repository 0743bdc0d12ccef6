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
 * Local mirror of all objects of one kind: lists them once, then watches for changes.
 *
 * <p>A failed watch is resumed at the last known revision. The kind is listed again only if the
 * store no longer keeps the changes since that revision, for example after a long outage.
 */
public final class KindMirror {
  /** Delay before the first retry of a failed call; doubles with each retry up to the maximum. */
  private static final long INITIAL_RETRY_DELAY_IN_MILLISECONDS = 100;

  /** Maximum delay before a retry; short, so that changes are seen soon after an outage. */
  private static final long MAXIMUM_RETRY_DELAY_IN_MILLISECONDS = 800;

  /** Delay before the next watch after a change, so that one watch fetches several changes. */
  private static final long BATCH_DELAY_IN_MILLISECONDS = 100;

  /** Receives the mirrored objects and their changes; all calls are made on the event loop. */
  public interface Listener {
    /** An object was added or changed. */
    void onObject(StoredObject object);

    /** An object was removed. */
    void onObjectRemoved(String name);

    /** All objects of a listing of the store were reported. */
    default void onAllObjects() {}
  }

  private final Vertx vertx;
  private final ObjectStore store;
  private final EventLog log;
  private final String kind;
  private final long waitInMilliseconds;
  private final Listener listener;
  private final Map<String, StoredObject> objects = new HashMap<>();
  private long revision = -1;
  private long lastChangeRevision = -1;
  private long retryDelayInMilliseconds = INITIAL_RETRY_DELAY_IN_MILLISECONDS;
  private boolean available;

  /**
   * Creates an empty mirror that makes no calls until it is started.
   *
   * @param waitInMilliseconds how long one watch waits; limits the time until a silent connection
   *     is noticed
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

  /** Starts to list and watch the objects. */
  public void start() {
    list();
  }

  /** Returns whether the last call to the store succeeded. */
  public boolean isAvailable() {
    return available;
  }

  /** Returns whether all objects have been received once, from the store or from a peer. */
  public boolean isLoaded() {
    return lastChangeRevision >= 0 || revision >= 0;
  }

  private void list() {
    store.list(kind).onSuccess(this::onListing).onFailure(error -> retry(error, this::list));
  }

  private void onListing(ObjectStore.Listing listing) {
    onStoreAnswered();
    replaceAll(listing.objects());
    revision = listing.revision();
    listener.onAllObjects();
    watch();
  }

  private void replaceAll(Collection<StoredObject> current) {
    Set<String> removed = new HashSet<>(objects.keySet());
    for (StoredObject object : current) {
      removed.remove(object.name());
      apply(object);
    }
    for (String name : removed) {
      objects.remove(name);
      listener.onObjectRemoved(name);
    }
  }

  private void apply(StoredObject object) {
    StoredObject known = objects.get(object.name());
    if (known == null || known.revision() < object.revision()) {
      objects.put(object.name(), object);
      lastChangeRevision = Math.max(lastChangeRevision, object.revision());
      listener.onObject(object);
    }
  }

  /**
   * Takes over the objects of a peer's mirror if it has seen a later change.
   *
   * <p>Objects that the peer lacks are removed only while the store does not answer this VM.
   */
  public void mergeFromPeer(long peerLastChangeRevision, Collection<StoredObject> peerObjects) {
    if (peerLastChangeRevision <= lastChangeRevision) {
      return;
    }
    log.log(
        EventKind.DEPENDENCY,
        "mirror taken from a peer",
        "objects",
        kind,
        "revision",
        peerLastChangeRevision,
        "available",
        available);
    if (available) {
      peerObjects.forEach(this::apply);
    } else {
      replaceAll(peerObjects);
    }
    lastChangeRevision = Math.max(lastChangeRevision, peerLastChangeRevision);
  }

  /**
   * Returns the store's revision of the last change of an object of this kind, or -1 before the
   * first; the same on all VMs that have seen the same changes.
   */
  public long lastChangeRevision() {
    return lastChangeRevision;
  }

  /** Returns all mirrored objects. */
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
    onStoreAnswered();
    for (ObjectStore.Change change : changes.changes()) {
      lastChangeRevision = Math.max(lastChangeRevision, change.object().revision());
      if (change.deleted()) {
        if (objects.remove(change.object().name()) != null) {
          listener.onObjectRemoved(change.object().name());
        }
      } else {
        apply(change.object());
      }
    }
    revision = Math.max(revision, changes.revision());
    if (changes.changes().isEmpty()) {
      watch();
    } else {
      vertx.setTimer(BATCH_DELAY_IN_MILLISECONDS, fired -> watch());
    }
  }

  private void onWatchFailed(Throwable error) {
    boolean isHistoryGone =
        error instanceof StoreException failure
            && failure.reason() == StoreException.Reason.HISTORY_GONE;
    if (isHistoryGone) {
      log.log(
          EventKind.DEPENDENCY,
          "store no longer keeps the history",
          "objects",
          kind,
          "revision",
          revision);
      list();
    } else {
      retry(error, this::watch);
    }
  }

  private void retry(Throwable error, Runnable call) {
    if (available) {
      available = false;
      log.log(
          EventKind.DEPENDENCY,
          "store not available",
          "objects",
          kind,
          "reason",
          error.getMessage());
    }
    vertx.setTimer(retryDelayInMilliseconds, fired -> call.run());
    retryDelayInMilliseconds =
        Math.min(MAXIMUM_RETRY_DELAY_IN_MILLISECONDS, retryDelayInMilliseconds * 2);
  }

  private void onStoreAnswered() {
    retryDelayInMilliseconds = INITIAL_RETRY_DELAY_IN_MILLISECONDS;
    if (!available) {
      available = true;
      log.log(EventKind.DEPENDENCY, "store available", "objects", kind, "revision", revision);
    }
  }
}
