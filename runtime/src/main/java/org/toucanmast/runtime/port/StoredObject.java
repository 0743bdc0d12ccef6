package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonObject;
import org.toucanmast.core.mirror.StorePosition;

/**
 * An object of the store.
 *
 * @param name the name, unique within the kind
 * @param position the era in which the object was read and the store's revision of its last change
 * @param content the content; null if it is not a JSON object
 */
public record StoredObject(String name, StorePosition position, JsonObject content) {
  /** Returns the store's revision of the object's last change. */
  public long revision() {
    return position.revision();
  }
}
