package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonObject;
import java.util.Objects;
import org.toucanmast.core.mirror.MirroredObject;
import org.toucanmast.core.mirror.StorePosition;

/**
 * An object of the store.
 *
 * @param name the name, unique within the kind
 * @param position the era in which the object was read and the store's revision of its last change
 * @param content the content; null if it is not a JSON object
 */
public record StoredObject(String name, StorePosition position, JsonObject content)
    implements MirroredObject {
  @Override
  public long revision() {
    return position.revision();
  }

  @Override
  public boolean hasContentOf(MirroredObject other) {
    return other instanceof StoredObject object && Objects.equals(content, object.content);
  }
}
