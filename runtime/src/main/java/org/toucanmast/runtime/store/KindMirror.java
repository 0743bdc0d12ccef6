package org.toucanmast.runtime.store;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import org.toucanmast.core.mirror.ContentVersion;
import org.toucanmast.core.mirror.MirrorFreshness;
import org.toucanmast.core.mirror.MirroredObjects;
import org.toucanmast.core.mirror.PropagationTiming;
import org.toucanmast.core.mirror.Retention;
import org.toucanmast.core.mirror.StoreEra;
import org.toucanmast.core.mirror.StorePosition;
import org.toucanmast.core.mirror.WatchRole;
import org.toucanmast.runtime.clock.VmClock;
import org.toucanmast.runtime.events.EventKind;
import org.toucanmast.runtime.events.EventLog;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoredObject;

/**
 * Local mirror of all objects of one kind, filled by calls to the store ({@link StoreWatch}) and by
 * peers.
 *
 * <p>The mirror lists the objects once. Afterwards it either watches the store for changes, or only
 * takes the changes that peers pass on. After the store was restored from a copy, the mirror takes
 * over all objects of the new era, and for a while retains what it knows to be newer.
 */
public final class KindMirror {
  /** Why an object that was deleted has no content. */
  private static final String DELETED = "the object was deleted";

  /** How long ago the changes in the first listing are assumed to have been made. */
  private static final long AGE_OF_FIRST_LISTING_IN_MILLISECONDS = 1_500;

  /** Receives the mirrored objects and their changes; all calls are made on the event loop. */
  public interface Listener extends MirroredObjects.Listener<StoredObject> {
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

    /** The store answered in a later era than any answer before. */
    void onNewEra();
  }

  /**
   * Changes of the objects, or all objects if {@code since} is empty.
   *
   * @param since the revision of the store after which the changes are
   * @param changes the changes, the oldest first
   * @param completeTo the position of the store up to which a receiver is complete with them
   * @param lastChange the revision of the latest change
   * @param maximumAges how long ago the store may have acknowledged the objects' changes, by the
   *     name of the object, in milliseconds; an object that is not named was changed just now
   * @param retained objects that the store lacks or has in an older state
   * @param retentionLeftInMilliseconds for how long they are still retained
   */
  public record Update(
      Optional<Long> since,
      List<ObjectStore.Change> changes,
      StorePosition completeTo,
      long lastChange,
      Map<String, Long> maximumAges,
      List<StoredObject> retained,
      long retentionLeftInMilliseconds) {}

  /** What the mirrors of a VM share. */
  public record Environment(
      Vertx vertx, VmClock clock, ObjectStore store, StoreEra era, EventLog log) {}

  /**
   * A kind of objects.
   *
   * @param name the name of the kind in the store
   * @param timing how long one watch waits, and after what time a silent one has failed
   * @param retention how long objects are retained after the store was away or was restored
   * @param contentVersion the version in an object's content; empty if it has none
   */
  public record Kind(
      String name,
      PropagationTiming timing,
      Retention retention,
      Function<StoredObject, Optional<ContentVersion>> contentVersion) {}

  private final Environment environment;
  private final Kind kind;
  private final MirrorFreshness freshness;
  private final Listener listener;
  private final StoreListener storeListener;
  private final MirroredObjects<StoredObject> objects;
  private final StoreWatch watch;
  private long retentionEndsAt = Long.MIN_VALUE;

  /**
   * Creates an empty mirror that makes no calls until it is started.
   *
   * @param freshness how old this VM's knowledge of the kind is; updated by peers as well
   */
  public KindMirror(
      Environment environment,
      Kind kind,
      MirrorFreshness freshness,
      Listener listener,
      StoreListener storeListener) {
    this.environment = environment;
    this.kind = kind;
    this.freshness = freshness;
    this.listener = new GuardedListener(listener, kind.name(), environment.log());
    this.storeListener = storeListener;
    this.objects = new MirroredObjects<>(kind.contentVersion(), this.listener);
    this.watch = new StoreWatch(environment, kind, storeListener, answers());
  }

  private StoreWatch.Answers answers() {
    return new StoreWatch.Answers() {
      @Override
      public StorePosition completeTo() {
        return objects.completeTo();
      }

      @Override
      public void onObjects(
          Collection<StoredObject> all, StorePosition position, boolean current, boolean wentBack) {
        long earliest = earliestChange();
        takeOver(all, position, wentBack, name -> earliest);
        if (current) {
          storeListener.onCurrent();
        }
        listener.onAllObjects();
        storeListener.onMirrorChanged();
      }

      @Override
      public void onStoreReturned() {
        retainUntil(kind.retention().endsAt(environment.clock().now()));
      }

      @Override
      public void onChanges(ObjectStore.Changes changes, boolean waited) {
        long changeTime = waited ? environment.clock().now() : earliestChange();
        apply(changes.changes(), changes.position(), name -> changeTime);
        storeListener.onCurrent();
        if (!changes.changes().isEmpty()) {
          storeListener.onMirrorChanged();
        }
      }
    };
  }

  /** Returns the earliest time of a change that this VM does not know yet. */
  private long earliestChange() {
    return freshness
        .answeredAt()
        .orElse(environment.clock().now() - AGE_OF_FIRST_LISTING_IN_MILLISECONDS);
  }

  /** Lists the objects; the listing may be some seconds old, which later changes make up for. */
  public void start() {
    watch.start();
  }

  /** Sets whether the mirror watches the store itself, and why. */
  public void setRole(WatchRole role) {
    watch.setRole(role);
  }

  /** Returns whether the mirror watches the store itself. */
  public boolean isWatching() {
    return watch.isWatching();
  }

  /** Returns whether all objects have been received once, from the store or from a peer. */
  public boolean isLoaded() {
    return objects.isLoaded();
  }

  /** Lists the objects if the mirror watches a store that is in a later era by now. */
  public void onNewEra() {
    watch.onNewEra();
  }

  /** Ends the retention of objects that the store lacks when its time is over. */
  public void updateRetention() {
    if (objects.isRetaining() && environment.clock().now() >= retentionEndsAt) {
      if (!objects.retainedObjects().isEmpty()) {
        environment.log().log(
            EventKind.DEPENDENCY,
            "objects that the store lacks no longer retained",
            "objects",
            kind.name(),
            "retained",
            objects.retainedObjects().size());
      }
      objects.endRetention();
    }
  }

  private void retainUntil(long endsAt) {
    retentionEndsAt = Math.max(retentionEndsAt, endsAt);
    if (environment.clock().now() < retentionEndsAt) {
      objects.beginRetention();
    }
  }

  /**
   * Takes over all objects.
   *
   * @param wentBack whether the store was found to be at an earlier revision within its era
   */
  private void takeOver(
      Collection<StoredObject> all,
      StorePosition position,
      boolean wentBack,
      ToLongFunction<String> changeTime) {
    StorePosition before = objects.completeTo();
    boolean isRestored = wentBack || position.era() > before.era();
    if (!isLoaded() || !isRestored) {
      objects.replaceAll(all, position, changeTime);
      return;
    }
    objects.restart(all, position, changeTime);
    long now = environment.clock().now();
    long returnedAt = wentBack ? now : environment.era().beganAt().orElse(now);
    retainUntil(kind.retention().endsAt(returnedAt));
    environment.log().log(
        EventKind.DEPENDENCY,
        "store was restored",
        "objects",
        kind.name(),
        "era",
        position.era(),
        "revision",
        position.revision(),
        "era_before",
        before.era(),
        "revision_before",
        before.revision(),
        "stored",
        objects.storedObjects().size(),
        "retained",
        objects.retainedObjects().size());
    updateRetention();
  }

  /** Applies changes that follow each other, and keeps them for peers that lack them. */
  private void apply(
      List<ObjectStore.Change> changes, StorePosition to, ToLongFunction<String> changeTime) {
    StorePosition reached = to.isAfter(objects.completeTo()) ? to : objects.completeTo();
    for (ObjectStore.Change change : changes) {
      objects.apply(change.object(), change.deleted(), reached, changeTime);
    }
    objects.advance(reached);
  }

  /**
   * Returns what a peer lacks.
   *
   * @param completeTo the position of the store up to which the peer is complete; revision 0 if it
   *     has none
   */
  public Update updateFor(StorePosition completeTo) {
    Optional<List<ObjectStore.Change>> changes =
        objects
            .changesSince(completeTo)
            .filter(found -> completeTo.revision() > 0)
            .map(
                found -> found.stream().map(change -> toChange(change, completeTo.era())).toList());
    return new Update(
        changes.map(found -> completeTo.revision()),
        changes.orElseGet(this::storedObjects),
        objects.completeTo(),
        objects.lastChange().revision(),
        maximumAges(),
        List.copyOf(objects.retainedObjects()),
        Math.max(0, retentionEndsAt - environment.clock().now()));
  }

  /** A deletion is passed on without what was deleted. */
  private static ObjectStore.Change toChange(
      MirroredObjects.Change<StoredObject> change, long era) {
    StoredObject object =
        change
            .object()
            .orElseGet(
                () ->
                    new StoredObject(
                        change.name(), new StorePosition(era, change.revision()), null, DELETED));
    return new ObjectStore.Change(object, change.object().isEmpty());
  }

  private List<ObjectStore.Change> storedObjects() {
    return objects.storedObjects().stream()
        .map(object -> new ObjectStore.Change(object, false))
        .toList();
  }

  private Map<String, Long> maximumAges() {
    long now = environment.clock().now();
    Map<String, Long> ages = new HashMap<>();
    objects.changeTimes().forEach((name, since) -> ages.put(name, now - since));
    return ages;
  }

  /**
   * Takes over what a peer passed on; never goes back to an older revision of an object, or to an
   * earlier era.
   *
   * @return whether the mirror changed
   */
  public boolean onUpdate(Update update) {
    if (update.completeTo().era() < environment.era().number()) {
      return false;
    }
    long now = environment.clock().now();
    if (environment.era().onAnswer(update.completeTo().era(), now)) {
      storeListener.onNewEra();
    }
    ToLongFunction<String> changeTime = name -> now - update.maximumAges().getOrDefault(name, 0L);
    if (!update.retained().isEmpty()) {
      retainUntil(endOf(update.retentionLeftInMilliseconds(), now));
    }
    StorePosition before = objects.lastChange();
    StorePosition last = new StorePosition(update.completeTo().era(), update.lastChange());
    if (last.isAfter(before) || update.completeTo().isAfter(objects.completeTo())) {
      if (!takeOverNews(update, changeTime)) {
        return false;
      }
      objects.advanceLastChange(update.lastChange());
    }
    objects.retain(update.retained(), changeTime);
    return objects.lastChange().isAfter(before);
  }

  private static long endOf(long leftInMilliseconds, long now) {
    return leftInMilliseconds < Long.MAX_VALUE - now ? now + leftInMilliseconds : Long.MAX_VALUE;
  }

  /** Returns whether the update follows what this VM knows, and was taken over. */
  private boolean takeOverNews(Update update, ToLongFunction<String> changeTime) {
    if (update.since().isEmpty()) {
      List<StoredObject> all = update.changes().stream().map(ObjectStore.Change::object).toList();
      takeOver(all, update.completeTo(), false, changeTime);
      return true;
    }
    StorePosition known = objects.completeTo();
    boolean follows =
        update.completeTo().era() == known.era() && update.since().get() <= known.revision();
    if (follows) {
      apply(update.changes(), update.completeTo(), changeTime);
    }
    return follows;
  }

  /**
   * Returns the store's position of the last change of an object of this kind; the same on all VMs
   * that have seen the same changes.
   */
  public StorePosition lastChange() {
    return objects.lastChange();
  }

  /**
   * Returns the store's position up to which this mirror is complete; revision 0 if it is empty.
   */
  public StorePosition completeTo() {
    StorePosition position = objects.completeTo();
    return new StorePosition(position.era(), Math.max(0, position.revision()));
  }

  /** Returns the objects that the restored store lacks or has in an older state. */
  public Collection<StoredObject> retainedObjects() {
    return objects.retainedObjects();
  }

  /** Returns about how many bytes the objects take that the store has, or that are retained. */
  public long objectBytes() {
    return objects.objectBytes();
  }

  /** Returns about how many bytes the deleted objects take that are remembered. */
  public long deletedBytes() {
    return objects.deletedBytes();
  }

  /** Returns about how many bytes the log of changes takes that peers may lack. */
  public long logBytes() {
    return objects.logBytes();
  }

  /** Returns all mirrored objects. */
  public Collection<StoredObject> objects() {
    return objects.objects();
  }
}
