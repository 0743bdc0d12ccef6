package org.toucanmast.runtime.port;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import java.util.List;

/** A store of objects by kind and name, with revisions, conditional updates and watches. */
public interface ObjectStore {

  /** All objects of a kind at a revision. */
  record Listing(List<StoredObject> objects, long revision) {}

  /** A change of one object. */
  record Change(StoredObject object, boolean deleted) {}

  /** The changes since a revision; empty when the wait ended first. */
  record Changes(List<Change> changes, long revision) {}

  /** Returns all objects of a kind; fails with a {@link StoreException}. */
  Future<Listing> list(String kind);

  /** Waits for changes of a kind after a revision; fails with a {@link StoreException}. */
  Future<Changes> watch(String kind, long revision, long waitInMilliseconds);

  /** Returns one object; fails with a {@link StoreException}. */
  Future<StoredObject> get(String kind, String name);

  /** Creates an object; fails with a {@link StoreException}. */
  Future<StoredObject> create(String kind, String name, JsonObject content);

  /** Replaces an object that has the given revision; fails with a {@link StoreException}. */
  Future<StoredObject> replace(String kind, String name, JsonObject content, long revision);

  /** Deletes an object that has the given revision; fails with a {@link StoreException}. */
  Future<Void> delete(String kind, String name, long revision);
}
