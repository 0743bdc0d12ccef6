package org.toucanmast.core.mirror;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * The objects of one kind: as the store has them, and as this VM takes them to be.
 *
 * <p>The two differ for a while after the store was away or was restored from a copy. An object
 * that it lacks, or shows in an older state, is retained as it was known until its writer has
 * written it again; one whose deletion the copy lacks stays deleted. {@link #endRetention()} ends
 * this.
 *
 * <p>Within an era the higher revision of an object counts; revisions of different eras are never
 * compared.
 *
 * @param <T> an object of the store
 */
public final class MirroredObjects<T extends MirroredObject> {
  /** Limit of the deleted objects that are remembered in case that a copy contains them. */
  private static final long MAXIMUM_DELETED_BYTES = 1024 * 1024;

  /** Receives what this VM takes the objects to be. */
  public interface Listener<T> {
    /**
     * An object was added or changed.
     *
     * @param changedSince the earliest time at which the store may have acknowledged the change, in
     *     milliseconds
     */
    void onObject(T object, long changedSince);

    /** An object was removed. */
    void onObjectRemoved(String name);

    /** The store lacks an object that is retained, or has an older state of it. */
    default void onObjectOutdatedInStore(String name) {}
  }

  private record Known<T>(T object, long changedSince) {}

  /**
   * The last change of an object.
   *
   * @param name the name of the object
   * @param revision the revision of the object, or of its deletion
   * @param object the object; empty if it was deleted
   */
  public record Change<T>(String name, long revision, Optional<T> object) {}

  private final Function<T, Optional<ContentVersion>> contentVersion;
  private final Listener<T> listener;
  private final SizedObjects<T> stored = SizedObjects.unlimited();
  private final SizedObjects<T> retained = SizedObjects.unlimited();
  private final Map<String, Known<T>> known = new HashMap<>();
  private final SizedObjects<T> deletedBeforeRestore =
      SizedObjects.limitedTo(MAXIMUM_DELETED_BYTES);
  private final SizedObjects<T> deleted = SizedObjects.limitedTo(MAXIMUM_DELETED_BYTES);
  private final ChangeLog changeLog = new ChangeLog();
  private StorePosition completeTo = StorePosition.NONE;
  private long lastChange = StorePosition.NONE.revision();
  private boolean retaining;

  /**
   * Creates an empty mirror.
   *
   * @param contentVersion the version in an object's content; empty if it has none
   */
  public MirroredObjects(
      Function<T, Optional<ContentVersion>> contentVersion, Listener<T> listener) {
    this.contentVersion = contentVersion;
    this.listener = listener;
  }

  /** Returns whether all objects have been received once. */
  public boolean isLoaded() {
    return completeTo.revision() >= 0;
  }

  /** Returns the position up to which all changes are known. */
  public StorePosition completeTo() {
    return completeTo;
  }

  /**
   * Returns the position of the last change of an object of this kind; the same on all VMs that
   * have seen the same changes.
   */
  public StorePosition lastChange() {
    return new StorePosition(completeTo.era(), lastChange);
  }

  /** Records that an object of this kind was changed up to a revision of the present era. */
  public void advanceLastChange(long revision) {
    lastChange = Math.max(lastChange, revision);
  }

  /** Returns the objects as this VM takes them to be. */
  public Collection<T> objects() {
    return known.values().stream().map(Known::object).toList();
  }

  /** Returns the objects as the store has them. */
  public Collection<T> storedObjects() {
    return stored.all();
  }

  /** Returns the objects that the store lacks or has in an older state. */
  public Collection<T> retainedObjects() {
    return retained.all();
  }

  /** Returns whether the store's state does not count yet where it is older. */
  public boolean isRetaining() {
    return retaining;
  }

  /** Returns the earliest possible times of the objects' last changes, by name. */
  public Map<String, Long> changeTimes() {
    Map<String, Long> times = new HashMap<>();
    known.forEach((name, entry) -> times.put(name, entry.changedSince()));
    return times;
  }

  /**
   * Returns the last change of each object that was changed after a position; empty if some of them
   * are not known any more.
   */
  public Optional<List<Change<T>>> changesSince(StorePosition position) {
    if (position.era() != completeTo.era()) {
      return Optional.empty();
    }
    return changeLog
        .since(position.revision())
        .map(entries -> entries.stream().flatMap(entry -> change(entry).stream()).toList());
  }

  private Optional<Change<T>> change(ChangeLog.Entry entry) {
    if (entry.deletedAt().isPresent()) {
      return Optional.of(
          new Change<>(entry.name(), entry.deletedAt().getAsLong(), Optional.empty()));
    }
    return Optional.ofNullable(stored.get(entry.name()))
        .map(object -> new Change<>(entry.name(), object.revision(), Optional.of(object)));
  }

  /** Returns about how many bytes the objects take that the store has, or that are retained. */
  public long objectBytes() {
    return stored.bytes() + retained.bytes();
  }

  /** Returns about how many bytes the deleted objects take that are remembered. */
  public long deletedBytes() {
    return deleted.bytes() + deletedBeforeRestore.bytes();
  }

  /** Returns about how many bytes the log of changes takes. */
  public long logBytes() {
    return changeLog.lengthInBytes();
  }

  /**
   * Takes over all objects of the present era. Objects that were changed after the given position
   * stay.
   *
   * @param position the position up to which the objects are complete
   * @param changeTime the earliest time of an object's change, in milliseconds, by its name
   */
  public void replaceAll(
      Collection<T> objects, StorePosition position, ToLongFunction<String> changeTime) {
    Set<String> removed = new HashSet<>(stored.names());
    for (T object : objects) {
      removed.remove(object.name());
      put(object, changeTime);
    }
    for (String name : removed) {
      if (stored.get(name).revision() <= position.revision()) {
        remove(name);
      }
    }
    if (position.isAfter(completeTo)) {
      completeTo = position;
      changeLog.restart(position.revision());
    }
  }

  /**
   * Takes over all objects of a store that was restored, and retains what was known before.
   *
   * @param position the position up to which the objects are complete, in the new era
   * @param changeTime the earliest time of an object's change, in milliseconds, by its name
   */
  public void restart(
      Collection<T> objects, StorePosition position, ToLongFunction<String> changeTime) {
    Set<String> names = new HashSet<>(known.keySet());
    retained.clear();
    known.values().forEach(entry -> retained.put(entry.object()));
    deleted.all().forEach(deletedBeforeRestore::put);
    deleted.clear();
    stored.clear();
    changeLog.restart(position.revision());
    completeTo = position;
    lastChange = StorePosition.NONE.revision();
    retaining = true;
    for (T object : objects) {
      names.add(object.name());
      stored.put(object);
      advanceLastChange(object.revision());
    }
    names.forEach(name -> report(name, changeTime));
    retained.names().forEach(listener::onObjectOutdatedInStore);
  }

  /**
   * Takes over objects that a peer retains, if this VM retains objects as well.
   *
   * @param changeTime the earliest time of an object's change, in milliseconds, by its name
   */
  public void retain(Collection<T> objects, ToLongFunction<String> changeTime) {
    if (!retaining) {
      return;
    }
    for (T object : objects) {
      T current = retained.get(object.name());
      if (current == null || isNewerContent(object, current)) {
        retained.put(object);
        report(object.name(), changeTime);
      }
    }
  }

  /** Retains objects that the store lacks from now on, until the retention is ended. */
  public void beginRetention() {
    retaining = true;
  }

  /** Lets the store's state count, also where it is older or lacks an object. */
  public void endRetention() {
    retaining = false;
    Set<String> names = new HashSet<>(retained.names());
    names.addAll(deletedBeforeRestore.names());
    retained.clear();
    deletedBeforeRestore.clear();
    Map<String, Long> times = changeTimes();
    names.forEach(name -> report(name, changed -> times.getOrDefault(changed, 0L)));
  }

  /**
   * Applies a change of the present era, and keeps it for peers that lack it.
   *
   * @param object the object, as it was before if it was deleted
   * @param position the position up to which all changes are known with this one and those that
   *     were applied together with it
   */
  public void apply(
      T object, boolean isDeleted, StorePosition position, ToLongFunction<String> changeTime) {
    T current = stored.get(object.name());
    boolean isNews;
    if (isDeleted) {
      boolean namesDeletion = current == null || object.revision() > current.revision();
      advanceLastChange(namesDeletion ? object.revision() : position.revision());
      isNews = current == null || current.revision() <= object.revision();
      if (current != null && isNews) {
        remove(object.name());
      }
    } else {
      boolean isKnownOrNew = object.revision() > completeTo.revision() || current != null;
      isNews = isKnownOrNew && put(object, changeTime);
    }
    if (isNews) {
      OptionalLong deletedAt =
          isDeleted ? OptionalLong.of(object.revision()) : OptionalLong.empty();
      changeLog.add(new ChangeLog.Entry(position.revision(), object.name(), deletedAt));
    }
  }

  /** Records that all changes up to a position of the present era have been applied. */
  public void advance(StorePosition position) {
    if (position.isAfter(completeTo)) {
      completeTo = position;
    }
  }

  /** Takes over an object unless a newer state of it is known; returns whether it did. */
  private boolean put(T object, ToLongFunction<String> changeTime) {
    T current = stored.get(object.name());
    if (current != null && current.revision() >= object.revision()) {
      return false;
    }
    stored.put(object);
    deleted.remove(object.name());
    advanceLastChange(object.revision());
    report(object.name(), changeTime);
    return true;
  }

  /** Removes an object; while objects are retained, it is kept as one that the store lacks. */
  private void remove(String name) {
    T removed = stored.remove(name);
    if (retaining && known.containsKey(name)) {
      retained.putIfAbsent(known.get(name).object());
      listener.onObjectOutdatedInStore(name);
    } else if (!retaining) {
      deleted.put(removed);
    }
    report(name, ignored -> 0);
  }

  /** Tells the listener what this VM takes an object to be, if that has changed. */
  private void report(String name, ToLongFunction<String> changeTime) {
    T current = stored.get(name);
    T former = retained.get(name);
    if (former != null && current != null && !isNewerContent(former, current)) {
      retained.remove(name);
      former = null;
    }
    T next = former == null && !isDeletedBeforeRestore(current) ? current : former;
    Known<T> before = known.get(name);
    if (next == null && before != null) {
      known.remove(name);
      listener.onObjectRemoved(name);
    } else if (next != null && (before == null || before.object() != next)) {
      boolean isSame = before != null && before.object().hasContentOf(next);
      long changedSince = isSame ? before.changedSince() : changeTime.applyAsLong(name);
      known.put(name, new Known<>(next, changedSince));
      listener.onObject(next, changedSince);
    }
  }

  private boolean isNewerContent(T object, T other) {
    Optional<ContentVersion> version = contentVersion.apply(object);
    Optional<ContentVersion> otherVersion = contentVersion.apply(other);
    return version.isPresent()
        && otherVersion.isPresent()
        && version.get().compareTo(otherVersion.get()) > 0;
  }

  /** Returns whether the copy contains an object that was deleted later, exactly as it was. */
  private boolean isDeletedBeforeRestore(T object) {
    if (object == null) {
      return false;
    }
    T before = deletedBeforeRestore.get(object.name());
    return before != null && before.revision() == object.revision() && before.hasContentOf(object);
  }
}
