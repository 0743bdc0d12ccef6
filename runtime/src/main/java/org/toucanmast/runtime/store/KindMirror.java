package org.toucanmast.runtime.store;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.toucanmast.core.mirror.ChangeLog;
import org.toucanmast.core.mirror.MirrorFreshness;
import org.toucanmast.core.mirror.PropagationTiming;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.mirror.WatchRole;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.ObjectStore.Consistency;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoredObject;

/**
 * Local mirror of all objects of one kind.
 *
 * <p>The mirror lists the objects once. Afterwards it either watches the store for changes, or only
 * takes the changes that peers pass on. A failed watch is resumed at the last known revision. The
 * kind is listed again only if the store no longer keeps the changes since that revision.
 */
public final class KindMirror {
  /** Delay before the next watch after a change, so that one watch fetches several changes. */
  private static final long BATCH_DELAY_IN_MILLISECONDS = 100;

  /**
   * A watch that is answered later than this after it was sent waited for its changes, which were
   * made just before the answer; one that is answered sooner may bring older changes.
   */
  private static final long IMMEDIATE_ANSWER_IN_MILLISECONDS = 100;

  /** How long ago the changes in the first listing are assumed to have been made. */
  private static final long AGE_OF_FIRST_LISTING_IN_MILLISECONDS = 1_500;

  /** Receives the mirrored objects and their changes; all calls are made on the event loop. */
  public interface Listener {
    /**
     * An object was added or changed.
     *
     * @param changedSince the earliest time at which the store may have acknowledged the change, on
     *     this VM's clock in milliseconds; promises count from there
     */
    void onObject(StoredObject object, long changedSince);

    /** An object was removed. */
    void onObjectRemoved(String name);

    /** All objects of a listing of the store were reported. */
    default void onAllObjects() {}
  }

  /** Receives what a mirror learns from the store, and that its content has changed. */
  public interface StoreListener {
    /** The store answered a call of the mirror, or did not. */
    void onStoreAvailability(boolean available);

    /** The mirror contains every change that the store had acknowledged until now. */
    void onCurrent();

    /** The mirror has changes that peers may lack. */
    void onMirrorChanged();
  }

  /**
   * Changes of the objects, or all objects if {@code since} is empty.
   *
   * @param since the revision of the store after which the changes are
   * @param changes the changes, the oldest first
   * @param completeTo the revision of the store up to which a receiver is complete with them; 0 if
   *     that is not known
   * @param lastChange the revision of the latest change
   * @param maximumAges how long ago the store may have acknowledged the objects' changes, by the
   *     name of the object, in milliseconds; an object that is not named was changed just now
   */
  public record Update(
      Optional<Long> since,
      List<ObjectStore.Change> changes,
      long completeTo,
      long lastChange,
      Map<String, Long> maximumAges) {}

  /** What the mirrors of a VM share. */
  public record Environment(Vertx vertx, VmClock clock, ObjectStore store, EventLog log) {}

  private final Vertx vertx;
  private final VmClock clock;
  private final ObjectStore store;
  private final EventLog log;
  private final String kind;
  private final MirrorFreshness freshness;
  private final PropagationTiming timing;
  private final Listener listener;
  private final StoreListener storeListener;
  private final Map<String, StoredObject> objects = new HashMap<>();
  private final Map<String, Long> changedSince = new HashMap<>();
  private final ChangeLog<StoredObject> changeLog = new ChangeLog<>();
  private long revision = -1;
  private long lastChangeRevision = -1;
  private long era;
  private long watchSentAt;
  private Optional<Runnable> pendingRetry = Optional.empty();
  private long retryTimer;
  private int failures;
  private boolean available;
  private WatchRole role = WatchRole.FOLLOWER;
  private boolean callPending;

  /**
   * Creates an empty mirror that makes no calls until it is started.
   *
   * @param freshness how old this VM's knowledge of the kind is; updated by peers as well
   * @param timing how long one watch waits, and after what time a silent one has failed
   */
  public KindMirror(
      Environment environment,
      String kind,
      PropagationTiming timing,
      MirrorFreshness freshness,
      Listener listener,
      StoreListener storeListener) {
    this.vertx = environment.vertx();
    this.clock = environment.clock();
    this.store = environment.store();
    this.log = environment.log();
    this.kind = kind;
    this.freshness = freshness;
    this.timing = timing;
    this.listener = listener;
    this.storeListener = storeListener;
  }

  /** Lists the objects; the listing may be some seconds old, which later changes make up for. */
  public void start() {
    list(Consistency.RELAXED);
  }

  /** Sets whether the mirror watches the store itself, and why. */
  public void setRole(WatchRole newRole) {
    if (role == newRole) {
      return;
    }
    boolean changed = role.watches() != newRole.watches();
    role = newRole;
    if (role == WatchRole.WATCHER) {
      retryNow();
    }
    if (!changed) {
      return;
    }
    log.log(
        EventKind.DEPENDENCY,
        role.watches() ? "watching the store" : "following peers",
        "objects",
        kind,
        "role",
        role,
        "revision",
        revision);
    if (role.watches() && !callPending && revision >= 0) {
      watch();
    }
  }

  /** Returns whether the mirror watches the store itself. */
  public boolean isWatching() {
    return role.watches();
  }

  /** Returns whether all objects have been received once, from the store or from a peer. */
  public boolean isLoaded() {
    return revision >= 0;
  }

  private void list(Consistency consistency) {
    callPending = true;
    store
        .list(kind, consistency)
        .onSuccess(listing -> onListing(listing, consistency))
        .onFailure(error -> retry(error, () -> list(consistency)));
  }

  /**
   * Takes over a listing. The revision that comes with a relaxed one may be newer than its objects,
   * so that the mirror counts as complete only up to the newest of them.
   */
  private void onListing(ObjectStore.Listing listing, Consistency consistency) {
    callPending = false;
    onStoreAnswered();
    long newest = listing.objects().stream().mapToLong(StoredObject::revision).max().orElse(0);
    long completeTo = consistency == Consistency.RELAXED ? newest : listing.position().revision();
    log.log(
        EventKind.DEPENDENCY,
        "objects listed",
        "objects",
        kind,
        "era",
        listing.position().era(),
        "listed_revision",
        listing.position().revision(),
        "revision",
        revision);
    logEra(listing.position());
    long earliest = earliestChange();
    replaceAll(listing.objects(), completeTo, name -> earliest);
    if (consistency == Consistency.LINEARIZABLE) {
      storeListener.onCurrent();
    }
    listener.onAllObjects();
    storeListener.onMirrorChanged();
    continueWatching();
  }

  /** Returns the earliest time of a change that this VM does not know yet. */
  private long earliestChange() {
    return freshness.answeredAt().orElse(clock.now() - AGE_OF_FIRST_LISTING_IN_MILLISECONDS);
  }

  private void continueWatching() {
    if (role.watches() && !callPending) {
      watch();
    }
  }

  private void replaceAll(
      Collection<StoredObject> current, long completeTo, ToLongFunction<String> changeTime) {
    Set<String> removed = new HashSet<>(objects.keySet());
    for (StoredObject object : current) {
      removed.remove(object.name());
      put(object, changeTime.applyAsLong(object.name()));
    }
    for (String name : removed) {
      if (objects.get(name).revision() <= completeTo) {
        remove(name);
      }
    }
    if (completeTo > revision) {
      revision = completeTo;
      changeLog.restart(completeTo);
    }
  }

  private void remove(String name) {
    objects.remove(name);
    changedSince.remove(name);
    listener.onObjectRemoved(name);
  }

  private void put(StoredObject object, long changeTime) {
    StoredObject known = objects.get(object.name());
    if (known == null || known.revision() < object.revision()) {
      objects.put(object.name(), object);
      changedSince.put(object.name(), changeTime);
      lastChangeRevision = Math.max(lastChangeRevision, object.revision());
      listener.onObject(object, changeTime);
    }
  }

  /** Applies changes that follow each other, and keeps them for peers that lack them. */
  private void apply(
      List<ObjectStore.Change> changes, long completeTo, ToLongFunction<String> changeTime) {
    for (ObjectStore.Change change : changes) {
      StoredObject object = change.object();
      StoredObject known = objects.get(object.name());
      if (change.deleted()) {
        boolean namesDeletion = known == null || object.revision() > known.revision();
        lastChangeRevision =
            Math.max(lastChangeRevision, namesDeletion ? object.revision() : completeTo);
        if (known != null && known.revision() <= object.revision()) {
          remove(object.name());
        }
      } else if (object.revision() > revision || known != null) {
        put(object, changeTime.applyAsLong(object.name()));
      }
      changeLog.add(completeTo, object, change.deleted());
    }
    revision = Math.max(revision, completeTo);
  }

  /**
   * Returns what a peer lacks.
   *
   * @param completeTo the revision of the store up to which the peer is complete; 0 if it has none
   */
  public Update updateFor(long completeTo) {
    Optional<List<ChangeLog.Change<StoredObject>>> changes = changeLog.since(completeTo);
    if (completeTo > 0 && changes.isPresent()) {
      return new Update(
          Optional.of(completeTo),
          changes.get().stream()
              .map(change -> new ObjectStore.Change(change.object(), change.deleted()))
              .toList(),
          revision,
          lastChangeRevision,
          maximumAges());
    }
    return new Update(
        Optional.empty(),
        objects.values().stream().map(object -> new ObjectStore.Change(object, false)).toList(),
        revision,
        lastChangeRevision,
        maximumAges());
  }

  private Map<String, Long> maximumAges() {
    long now = clock.now();
    Map<String, Long> ages = new HashMap<>();
    changedSince.forEach((name, since) -> ages.put(name, now - since));
    return ages;
  }

  /**
   * Takes over what a peer passed on; never goes back to an older revision of an object.
   *
   * @return whether the mirror changed
   */
  public boolean onUpdate(Update update) {
    if (update.lastChange() <= lastChangeRevision && update.completeTo() <= revision) {
      return false;
    }
    long before = lastChangeRevision;
    long now = clock.now();
    ToLongFunction<String> changeTime = name -> now - update.maximumAges().getOrDefault(name, 0L);
    if (update.since().isEmpty()) {
      List<StoredObject> content = new ArrayList<>();
      update.changes().forEach(change -> content.add(change.object()));
      replaceAll(content, update.completeTo(), changeTime);
    } else if (update.since().get() <= revision) {
      apply(update.changes(), Math.max(revision, update.completeTo()), changeTime);
    } else {
      return false;
    }
    lastChangeRevision = Math.max(lastChangeRevision, update.lastChange());
    return lastChangeRevision != before;
  }

  /**
   * Returns the store's revision of the last change of an object of this kind, or -1 before the
   * first; the same on all VMs that have seen the same changes.
   */
  public long lastChangeRevision() {
    return lastChangeRevision;
  }

  /** Returns the store's revision up to which this mirror is complete; 0 if it has no objects. */
  public long completeTo() {
    return Math.max(0, revision);
  }

  /** Returns all mirrored objects. */
  public Collection<StoredObject> objects() {
    return List.copyOf(objects.values());
  }

  private void watch() {
    callPending = true;
    watchSentAt = clock.now();
    store
        .watch(
            kind, revision, timing.watchWaitInMilliseconds(), timing.watchTimeoutInMilliseconds())
        .onSuccess(this::onChanges)
        .onFailure(this::onWatchFailed);
  }

  private void onChanges(ObjectStore.Changes changes) {
    callPending = false;
    long now = clock.now();
    boolean waited = available && now - watchSentAt > IMMEDIATE_ANSWER_IN_MILLISECONDS;
    long changeTime = waited ? now : earliestChange();
    onStoreAnswered();
    logEra(changes.position());
    apply(changes.changes(), Math.max(revision, changes.position().revision()), name -> changeTime);
    storeListener.onCurrent();
    if (changes.changes().isEmpty()) {
      continueWatching();
    } else {
      storeListener.onMirrorChanged();
      callPending = true;
      vertx.setTimer(
          BATCH_DELAY_IN_MILLISECONDS,
          fired -> {
            callPending = false;
            continueWatching();
          });
    }
  }

  private void logEra(StorePosition answered) {
    if (answered.era() != era && isLoaded()) {
      log.log(
          EventKind.DEPENDENCY,
          "store answered in another era",
          "objects",
          kind,
          "era",
          answered.era(),
          "store_revision",
          answered.revision(),
          "era_before",
          era,
          "revision",
          revision);
    }
    era = answered.era();
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
      list(Consistency.LINEARIZABLE);
    } else {
      retry(error, this::watch);
    }
  }

  /** Repeats a failed call after a delay, unless a peer has made it unnecessary. */
  private void retry(Throwable error, Runnable call) {
    if (available) {
      log.log(
          EventKind.DEPENDENCY,
          "store not available",
          "objects",
          kind,
          "reason",
          error.getMessage());
    }
    available = false;
    storeListener.onStoreAvailability(false);
    failures++;
    pendingRetry = Optional.of(call);
    retryTimer =
        vertx.setTimer(role.retryDelayInMilliseconds(failures, timing), fired -> runPendingRetry());
  }

  private void runPendingRetry() {
    Runnable call = pendingRetry.orElseThrow();
    pendingRetry = Optional.empty();
    if (role.watches() || !isLoaded()) {
      call.run();
    } else {
      callPending = false;
    }
  }

  /** A VM that becomes a watcher does not wait for the end of a fallback's delay. */
  private void retryNow() {
    if (pendingRetry.isPresent() && vertx.cancelTimer(retryTimer)) {
      failures = 0;
      runPendingRetry();
    }
  }

  private void onStoreAnswered() {
    failures = 0;
    if (!available) {
      available = true;
      log.log(EventKind.DEPENDENCY, "store available", "objects", kind, "revision", revision);
    }
    storeListener.onStoreAvailability(true);
  }
}
