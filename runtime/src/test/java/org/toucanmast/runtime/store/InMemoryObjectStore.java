package org.toucanmast.runtime.store;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.toucanmast.runtime.port.ObjectStore;
import org.toucanmast.runtime.port.StoreException;
import org.toucanmast.runtime.port.StoreException.Reason;
import org.toucanmast.runtime.port.StoredObject;

/** A store in memory whose watches are answered by the test. */
public final class InMemoryObjectStore implements ObjectStore {
  private final Map<String, StoredObject> objects = new LinkedHashMap<>();
  private final List<Promise<Changes>> watches = new ArrayList<>();
  private long revision = 10;
  private Reason failure;
  private int lists;

  /** Makes every call fail, or none. */
  public void failWith(Reason reason) {
    failure = reason;
  }

  /** Writes an object as another writer would. */
  public StoredObject put(String kind, String name, JsonObject content) {
    revision++;
    StoredObject object = new StoredObject(name, revision, content);
    objects.put(kind + "/" + name, object);
    return object;
  }

  /** Returns how often a kind was listed. */
  public int lists() {
    return lists;
  }

  /** Returns the newest watch that waits. */
  public Promise<Changes> lastWatch() {
    return watches.get(watches.size() - 1);
  }

  private <T> Future<T> answer(T value) {
    return failure == null
        ? Future.succeededFuture(value)
        : Future.failedFuture(new StoreException(failure, "as the test says"));
  }

  private static <T> Future<T> failed(Reason reason) {
    return Future.failedFuture(new StoreException(reason, "as the store says"));
  }

  @Override
  public Future<Listing> list(String kind) {
    lists++;
    List<StoredObject> found = new ArrayList<>();
    objects.forEach(
        (key, object) -> {
          if (key.startsWith(kind + "/")) {
            found.add(object);
          }
        });
    return answer(new Listing(found, revision));
  }

  @Override
  public Future<Changes> watch(String kind, long from, long waitInMilliseconds) {
    Promise<Changes> promise = Promise.promise();
    watches.add(promise);
    return promise.future();
  }

  @Override
  public Future<StoredObject> get(String kind, String name) {
    StoredObject object = objects.get(kind + "/" + name);
    return failure == null && object == null ? failed(Reason.MISSING) : answer(object);
  }

  @Override
  public Future<StoredObject> create(String kind, String name, JsonObject content) {
    return objects.containsKey(kind + "/" + name)
        ? failed(Reason.CONFLICT)
        : answer(put(kind, name, content));
  }

  @Override
  public Future<StoredObject> replace(String kind, String name, JsonObject content, long from) {
    StoredObject object = objects.get(kind + "/" + name);
    return object == null || object.revision() != from
        ? failed(Reason.CONFLICT)
        : answer(put(kind, name, content));
  }

  @Override
  public Future<Void> delete(String kind, String name, long from) {
    objects.remove(kind + "/" + name);
    return answer(null);
  }
}
