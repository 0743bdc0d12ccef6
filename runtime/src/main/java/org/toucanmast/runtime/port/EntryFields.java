package org.toucanmast.runtime.port;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;

/**
 * The fields of an entry that any writer may have put into the store.
 *
 * <p>Unlike the getters of {@link JsonObject}, these convert nothing: a number too large for its
 * type, or an object in place of a text, is refused instead of turned into another value.
 *
 * @param content the content of the entry
 */
public record EntryFields(JsonObject content) {
  private static final int MAXIMUM_DESCRIPTION_LENGTH = 60;

  /** Creates the fields of an entry's content; fails if it has none. */
  public static EntryFields of(JsonObject content) throws InvalidEntryException {
    if (content == null) {
      throw new InvalidEntryException("content: expected a JSON object but it has none");
    }
    return new EntryFields(content);
  }

  /** Returns a text that is not empty. */
  public String text(String name) throws InvalidEntryException {
    Object value = content.getValue(name);
    if (value instanceof String text && !text.isEmpty()) {
      return text;
    }
    throw invalid(name, "a text that is not empty", value);
  }

  /** Returns a text that is one of some allowed ones. */
  public String text(String name, List<String> allowed) throws InvalidEntryException {
    Object value = content.getValue(name);
    if (value instanceof String text && allowed.contains(text)) {
      return text;
    }
    throw invalid(name, "one of " + allowed, value);
  }

  /** Returns a whole number between two bounds, both inclusive. */
  public long wholeNumber(String name, long minimum, long maximum) throws InvalidEntryException {
    Object value = content.getValue(name);
    if (isWholeNumber(value)) {
      long number = ((Number) value).longValue();
      if (number >= minimum && number <= maximum) {
        return number;
      }
    }
    throw invalid(name, "a whole number from " + minimum + " to " + maximum, value);
  }

  /** A number of more than 18 digits is a {@code BigInteger}, which is not taken for a long. */
  private static boolean isWholeNumber(Object value) {
    return value instanceof Integer
        || value instanceof Long
        || value instanceof Double number
            && Math.rint(number) == number
            && Math.abs(number) < Long.MAX_VALUE;
  }

  /** Returns a number above 0 and up to a maximum. */
  public double positiveNumber(String name, double maximum) throws InvalidEntryException {
    Object value = content.getValue(name);
    if (value instanceof Number number
        && number.doubleValue() > 0
        && number.doubleValue() <= maximum) {
      return number.doubleValue();
    }
    throw invalid(name, "a number above 0 and up to " + maximum, value);
  }

  /** Returns whether a flag is set. */
  public boolean flag(String name) throws InvalidEntryException {
    Object value = content.getValue(name);
    if (value instanceof Boolean flag) {
      return flag;
    }
    throw invalid(name, "true or false", value);
  }

  /** Returns the objects in an array. */
  public List<EntryFields> objects(String name) throws InvalidEntryException {
    if (!(content.getValue(name) instanceof JsonArray array)) {
      throw invalid(name, "an array", content.getValue(name));
    }
    List<EntryFields> objects = new ArrayList<>();
    for (int index = 0; index < array.size(); index++) {
      if (!(array.getValue(index) instanceof JsonObject object)) {
        throw invalid(name, "objects in the array", array.getValue(index));
      }
      objects.add(new EntryFields(object));
    }
    return objects;
  }

  /** Returns the fields of an object in a field. */
  public EntryFields object(String name) throws InvalidEntryException {
    if (content.getValue(name) instanceof JsonObject object) {
      return new EntryFields(object);
    }
    throw invalid(name, "an object", content.getValue(name));
  }

  /** Returns whether a field is missing or null. */
  public boolean lacks(String name) {
    return content.getValue(name) == null;
  }

  /** Returns a failure that says what a field was expected to be. */
  public InvalidEntryException invalid(String name, String expected) {
    return invalid(name, expected, content.getValue(name));
  }

  private static InvalidEntryException invalid(String name, String expected, Object value) {
    return new InvalidEntryException(
        name + ": expected " + expected + " but was " + describe(value));
  }

  /** Describes a value in few characters: a foreign entry may hold a very long one. */
  private static String describe(Object value) {
    if (value instanceof JsonObject) {
      return "an object";
    }
    if (value instanceof JsonArray) {
      return "an array";
    }
    String text = value instanceof String ? "'" + value + "'" : String.valueOf(value);
    return text.length() <= MAXIMUM_DESCRIPTION_LENGTH
        ? text
        : text.substring(0, MAXIMUM_DESCRIPTION_LENGTH) + "… (" + text.length() + " characters)";
  }
}
