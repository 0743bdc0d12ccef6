package org.toucanmast.core.mirror;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * The names of the objects of one kind that were changed last, from which peers receive what they
 * lack instead of all objects.
 *
 * <p>Load patterns: many endpoints or VMs change their entries within seconds, and each change
 * would otherwise send the whole kind to every VM. A long object changes many times within seconds,
 * and its former states would fill the heap: the log keeps one entry for each name and no states.
 */
public final class ChangeLog {
  /** Limit of what the entries take; a peer that lacks more receives all objects. */
  static final long MAXIMUM_LENGTH_IN_BYTES = 256 * 1024;

  /** What an entry takes besides its name: the entry, its key and its place in the map. */
  static final long ENTRY_LENGTH_IN_BYTES = 128;

  /**
   * The last change of an object.
   *
   * @param revision the store's revision up to which changes are known with this one
   * @param name the name of the object
   * @param deletedAt the revision of the deletion; empty if the object exists
   */
  public record Entry(long revision, String name, OptionalLong deletedAt) {
    private long lengthInBytes() {
      return ENTRY_LENGTH_IN_BYTES + name.length();
    }
  }

  private final Map<String, Entry> lastChanges = new LinkedHashMap<>();
  private long completeSince = Long.MAX_VALUE;
  private long lengthInBytes;

  /** Forgets all changes; the log is complete for peers that know the given revision. */
  public void restart(long revision) {
    lastChanges.clear();
    lengthInBytes = 0;
    completeSince = revision;
  }

  /**
   * Adds a change, which must not be older than the last one and replaces that of the same name.
   */
  public void add(Entry entry) {
    Entry former = lastChanges.remove(entry.name());
    lengthInBytes += entry.lengthInBytes() - (former == null ? 0 : former.lengthInBytes());
    lastChanges.put(entry.name(), entry);
    Iterator<Entry> eldest = lastChanges.values().iterator();
    while (lengthInBytes > MAXIMUM_LENGTH_IN_BYTES) {
      Entry removed = eldest.next();
      eldest.remove();
      lengthInBytes -= removed.lengthInBytes();
      completeSince = Math.max(completeSince, removed.revision());
    }
  }

  /**
   * Returns the last change of each object that was changed after a revision, the oldest first;
   * empty if some of them are no longer kept.
   */
  public Optional<List<Entry>> since(long revision) {
    if (revision < completeSince) {
      return Optional.empty();
    }
    List<Entry> found = new ArrayList<>();
    lastChanges.values().stream().filter(entry -> entry.revision() > revision).forEach(found::add);
    return Optional.of(found);
  }

  /** Returns about how many bytes the entries take. */
  public long lengthInBytes() {
    return lengthInBytes;
  }
}
