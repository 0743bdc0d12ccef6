package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import java.util.Map;

/** Estimates the memory that JSON values take, from the sizes of a 64-bit JVM's objects. */
final class JsonSize {
  private static final long TEXT_IN_BYTES = 48;
  private static final long NUMBER_IN_BYTES = 24;
  private static final long MAP_IN_BYTES = 96;
  private static final long MAP_ENTRY_IN_BYTES = 56;
  private static final long LIST_IN_BYTES = 64;
  private static final long LIST_ENTRY_IN_BYTES = 8;

  private JsonSize() {}

  /** Returns about how many bytes a text takes. */
  static long ofText(String text) {
    return TEXT_IN_BYTES + text.length();
  }

  /** Returns about how many bytes a value takes; 0 if it is null. */
  static long of(Object value) {
    if (value instanceof JsonObject object) {
      return of(object.getMap());
    } else if (value instanceof JsonArray array) {
      return of(array.getList());
    } else if (value instanceof Map<?, ?> map) {
      long size = MAP_IN_BYTES;
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        size += MAP_ENTRY_IN_BYTES + of(entry.getKey()) + of(entry.getValue());
      }
      return size;
    } else if (value instanceof List<?> list) {
      long size = LIST_IN_BYTES;
      for (Object element : list) {
        size += LIST_ENTRY_IN_BYTES + of(element);
      }
      return size;
    } else if (value instanceof String text) {
      return ofText(text);
    }
    return value instanceof Number ? NUMBER_IN_BYTES : 0;
  }
}
