package org.toucanmast.standin.platform;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * In-memory store of versioned objects with conditional updates and watches.
 *
 * <p>All objects take their versions from one counter. Not thread-safe; used from one event loop.
 */
final class ObjectStore {
  /** An object's value and version. */
  record VersionedObject(long version, JsonObject value) {}

  private final Map<String, VersionedObject> objects = new HashMap<>();
  private final Map<String, List<Runnable>> callbacksByPath = new HashMap<>();
  private long lastVersion;
  private long era;

  /** Returns the era, which rises each time the store is restored from a copy. */
  long era() {
    return era;
  }

  /** Returns a copy; running it restores the store, which forgets what was written since. */
  Runnable copy() {
    Map<String, VersionedObject> copiedObjects = new HashMap<>(objects);
    long copiedVersion = lastVersion;
    return () -> {
      objects.clear();
      objects.putAll(copiedObjects);
      lastVersion = copiedVersion;
      era++;
    };
  }

  Optional<VersionedObject> read(String path) {
    return Optional.ofNullable(objects.get(path));
  }

  /**
   * Writes an object if it has the expected version, and runs the callbacks that watch it.
   *
   * @param expected the expected version; 0 if the object must not exist
   * @return the new version, or empty if the object has another version
   */
  Optional<Long> update(String path, long expected, JsonObject value) {
    long version = read(path).map(VersionedObject::version).orElse(0L);
    if (version != expected) {
      return Optional.empty();
    }
    lastVersion++;
    objects.put(path, new VersionedObject(lastVersion, value));
    List<Runnable> notified = callbacksByPath.remove(path);
    if (notified != null) {
      notified.forEach(Runnable::run);
    }
    return Optional.of(lastVersion);
  }

  /** Registers a callback for the next change of the object; the returned action cancels it. */
  Runnable watch(String path, Runnable callback) {
    List<Runnable> callbacks = callbacksByPath.computeIfAbsent(path, key -> new ArrayList<>());
    callbacks.add(callback);
    return () -> callbacks.remove(callback);
  }
}
