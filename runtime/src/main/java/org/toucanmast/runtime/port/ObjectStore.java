package org.toucanmast.runtime.port;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.toucanmast.core.mirror.StorePosition;

/** Store of objects by kind and name, with revisions, conditional updates and watches. */
public interface ObjectStore {

  /**
   * All objects of a kind, as of a position of the store.
   *
   * @param unreadable why objects without a name or a revision that can be read were left out
   */
  record Listing(List<StoredObject> objects, StorePosition position, List<String> unreadable) {
    /** Creates a listing that nothing was left out of. */
    public Listing(List<StoredObject> objects, StorePosition position) {
      this(objects, position, List.of());
    }
  }

  /** An object that was written or deleted. */
  record Change(StoredObject object, boolean deleted) {}

  /**
   * The changes up to a position of the store; empty if the wait ended without a change.
   *
   * @param unreadable why changes of objects without a name that can be read were left out
   */
  record Changes(List<Change> changes, StorePosition position, List<String> unreadable) {
    /** Creates changes that nothing was left out of. */
    public Changes(List<Change> changes, StorePosition position) {
      this(changes, position, List.of());
    }
  }

  /** How recent the objects of a listing are. */
  enum Consistency {
    /** The listing contains every change that was acknowledged before the call. */
    LINEARIZABLE,
    /** The listing may be some seconds old, also where its revision is newer; costs little. */
    RELAXED
  }

  /** Lists all objects of a kind; fails with a {@link StoreException}. */
  Future<Listing> list(String kind, Consistency consistency);

  /**
   * Waits for changes of a kind after a revision; fails with a {@link StoreException}.
   *
   * @param waitInMilliseconds how long the store waits for the first change
   * @param timeoutInMilliseconds after what time a watch without a complete answer fails; a store
   *     that has become silent is noticed only by this
   */
  Future<Changes> watch(
      String kind, long revision, long waitInMilliseconds, long timeoutInMilliseconds);

  /** Returns one object; fails with a {@link StoreException}. */
  Future<StoredObject> get(String kind, String name);

  /** Creates an object; fails with a {@link StoreException}. */
  Future<StoredObject> create(String kind, String name, JsonObject content);

  /**
   * Replaces an object's content; fails with a {@link StoreException}, also if the object's last
   * change is not at the given position. If the store was restored meanwhile, its answer does not
   * tell whether the condition held, and the call fails with an unknown outcome.
   */
  Future<StoredObject> replace(
      String kind, String name, JsonObject content, StorePosition position);

  /**
   * Deletes an object; fails with a {@link StoreException}, also if the object's last change is not
   * at the given position.
   */
  Future<Void> delete(String kind, String name, StorePosition position);
}
