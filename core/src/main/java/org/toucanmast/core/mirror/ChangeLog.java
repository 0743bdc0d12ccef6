package org.toucanmast.core.mirror;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * The most recent changes of one kind of objects, from which peers receive what they lack instead
 * of all objects.
 *
 * <p>Load pattern: many endpoints or VMs change their entries within seconds, and each change would
 * otherwise send the whole kind to every VM.
 *
 * @param <T> an object of the store
 */
public final class ChangeLog<T> {
  /** Number of changes that are kept; a peer that lacks more receives all objects. */
  private static final int CAPACITY = 512;

  /**
   * A change of one object.
   *
   * @param revision the store's revision up to which changes are known with this one
   * @param object the object, as it was before if it was deleted
   * @param deleted whether the object was deleted
   */
  public record Change<T>(long revision, T object, boolean deleted) {}

  private final Deque<Change<T>> changes = new ArrayDeque<>();
  private long completeSince = Long.MAX_VALUE;

  /** Forgets all changes; the log is complete for peers that know the given revision. */
  public void restart(long revision) {
    changes.clear();
    completeSince = revision;
  }

  /** Adds a change, which must not be older than the last one. */
  public void add(long revision, T object, boolean deleted) {
    changes.addLast(new Change<>(revision, object, deleted));
    if (changes.size() > CAPACITY) {
      completeSince = Math.max(completeSince, changes.removeFirst().revision());
    }
  }

  /**
   * Returns the changes after a revision, the oldest first; empty if some of them are no longer
   * kept.
   */
  public Optional<List<Change<T>>> since(long revision) {
    if (revision < completeSince) {
      return Optional.empty();
    }
    return Optional.of(changes.stream().filter(change -> change.revision() > revision).toList());
  }
}
