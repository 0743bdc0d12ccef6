package org.toucanmast.core.mirror;

import java.util.Collection;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Objects by name, with the memory that they take. Beyond a limit, the objects that were added
 * first are dropped.
 *
 * @param <T> an object of the store
 */
final class SizedObjects<T extends MirroredObject> {
  private final Map<String, T> byName = new LinkedHashMap<>();
  private final long maximumBytes;
  private long bytes;

  private SizedObjects(long maximumBytes) {
    this.maximumBytes = maximumBytes;
  }

  /** Returns an empty collection from which nothing is dropped. */
  static <T extends MirroredObject> SizedObjects<T> unlimited() {
    return new SizedObjects<>(Long.MAX_VALUE);
  }

  /** Returns an empty collection of objects that take at most the given number of bytes. */
  static <T extends MirroredObject> SizedObjects<T> limitedTo(long maximumBytes) {
    return new SizedObjects<>(maximumBytes);
  }

  /** Adds an object as the newest, in place of that of the same name. */
  void put(T object) {
    remove(object.name());
    byName.put(object.name(), object);
    bytes += object.heapBytes();
    Iterator<T> eldest = byName.values().iterator();
    while (bytes > maximumBytes) {
      bytes -= eldest.next().heapBytes();
      eldest.remove();
    }
  }

  /** Adds an object unless there is one of the same name. */
  void putIfAbsent(T object) {
    if (!byName.containsKey(object.name())) {
      put(object);
    }
  }

  /** Removes and returns the object of a name; null if there is none. */
  T remove(String name) {
    T removed = byName.remove(name);
    bytes -= removed == null ? 0 : removed.heapBytes();
    return removed;
  }

  /** Returns the object of a name; null if there is none. */
  T get(String name) {
    return byName.get(name);
  }

  void clear() {
    byName.clear();
    bytes = 0;
  }

  Set<String> names() {
    return Set.copyOf(byName.keySet());
  }

  Collection<T> all() {
    return List.copyOf(byName.values());
  }

  /** Returns about how many bytes of the heap the objects take. */
  long bytes() {
    return bytes;
  }
}
