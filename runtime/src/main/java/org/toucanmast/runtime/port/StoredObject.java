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
 * @param content the content; null if it cannot be read or is not a JSON object
 * @param problem why there is no content; empty if there is some
 * @param heapBytes about how many bytes of the heap the object takes
 */
public record StoredObject(
    String name, StorePosition position, JsonObject content, String problem, long heapBytes)
    implements MirroredObject {
  /** Creates an object and estimates its size. */
  public StoredObject(String name, StorePosition position, JsonObject content, String problem) {
    this(
        name,
        position,
        content,
        problem,
        JsonSize.ofText(name) + JsonSize.ofText(problem) + JsonSize.of(content));
  }

  /** Creates an object whose content was read, or was found to be no JSON object. */
  public StoredObject(String name, StorePosition position, JsonObject content) {
    this(name, position, content, content == null ? "content: expected a JSON object" : "");
  }

  /** Returns why the object cannot be used, given why its content cannot. */
  public String problemOr(InvalidEntryException failure) {
    return content == null ? problem : failure.getMessage();
  }

  @Override
  public long revision() {
    return position.revision();
  }

  @Override
  public boolean hasContentOf(MirroredObject other) {
    return other instanceof StoredObject object && Objects.equals(content, object.content);
  }
}
