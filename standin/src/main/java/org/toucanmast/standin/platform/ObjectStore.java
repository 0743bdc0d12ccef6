package org.toucanmast.standin.platform;

import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Objects with versions from one counter; used from one thread. */
final class ObjectStore {
  /** One version of an object. */
  record Stored(long version, JsonObject value) {}

  private final Map<String, Stored> objects = new HashMap<>();
  private final Map<String, List<Runnable>> watchers = new HashMap<>();
  private long counter;

  Optional<Stored> read(String path) {
    return Optional.ofNullable(objects.get(path));
  }

  /** Writes if the object has the expected version; returns the new version. */
  Optional<Long> update(String path, long expected, JsonObject value) {
    long version = read(path).map(Stored::version).orElse(0L);
    if (version != expected) {
      return Optional.empty();
    }
    counter++;
    objects.put(path, new Stored(counter, value));
    List<Runnable> waiting = watchers.remove(path);
    if (waiting != null) {
      waiting.forEach(Runnable::run);
    }
    return Optional.of(counter);
  }

  /** Calls back at the next change of the object; the result cancels it. */
  Runnable watch(String path, Runnable callback) {
    List<Runnable> list = watchers.computeIfAbsent(path, name -> new ArrayList<>());
    list.add(callback);
    return () -> list.remove(callback);
  }
}
