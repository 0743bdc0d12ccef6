package review;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
  private final String text;
  private int index;

  private Json(String text) {
    this.text = text;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) new Json(text).value();
  }

  private Object value() {
    skipBlanks();
    char next = text.charAt(index);
    switch (next) {
      case '{':
        return map();
      case '[':
        return list();
      case '"':
        return string();
      case 't':
        index += 4;
        return Boolean.TRUE;
      case 'f':
        index += 5;
        return Boolean.FALSE;
      case 'n':
        index += 4;
        return null;
      default:
        return number();
    }
  }

  private Map<String, Object> map() {
    Map<String, Object> map = new LinkedHashMap<>();
    index++;
    skipBlanks();
    while (text.charAt(index) != '}') {
      skipBlanks();
      String key = string();
      skipBlanks();
      index++;
      map.put(key, value());
      skipSeparator();
    }
    index++;
    return map;
  }

  private List<Object> list() {
    List<Object> list = new ArrayList<>();
    index++;
    skipBlanks();
    while (text.charAt(index) != ']') {
      list.add(value());
      skipSeparator();
    }
    index++;
    return list;
  }

  private void skipSeparator() {
    skipBlanks();
    if (text.charAt(index) == ',') {
      index++;
      skipBlanks();
    }
  }

  private String string() {
    StringBuilder result = new StringBuilder();
    index++;
    while (text.charAt(index) != '"') {
      char next = text.charAt(index++);
      if (next != '\\') {
        result.append(next);
        continue;
      }
      char escaped = text.charAt(index++);
      switch (escaped) {
        case 'n' -> result.append('\n');
        case 't' -> result.append('\t');
        case 'r' -> result.append('\r');
        case 'b' -> result.append('\b');
        case 'f' -> result.append('\f');
        case 'u' -> {
          result.append((char) Integer.parseInt(text.substring(index, index + 4), 16));
          index += 4;
        }
        default -> result.append(escaped);
      }
    }
    index++;
    return result.toString();
  }

  private Object number() {
    int start = index;
    while (index < text.length() && "+-.eE0123456789".indexOf(text.charAt(index)) >= 0) {
      index++;
    }
    String number = text.substring(start, index);
    return number.matches("-?\\d+") ? (Object) Long.valueOf(number) : Double.valueOf(number);
  }

  private void skipBlanks() {
    while (index < text.length() && Character.isWhitespace(text.charAt(index))) {
      index++;
    }
  }

  static String encode(Object value) {
    StringBuilder result = new StringBuilder();
    append(result, value);
    return result.toString();
  }

  private static void append(StringBuilder result, Object value) {
    if (value instanceof Map<?, ?> map) {
      result.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        result.append(separator);
        append(result, entry.getKey());
        result.append(':');
        append(result, entry.getValue());
        separator = ",";
      }
      result.append('}');
    } else if (value instanceof List<?> list) {
      result.append('[');
      String separator = "";
      for (Object item : list) {
        result.append(separator);
        append(result, item);
        separator = ",";
      }
      result.append(']');
    } else if (value instanceof String string) {
      result.append('"');
      for (char next : string.toCharArray()) {
        if (next == '"' || next == '\\') {
          result.append('\\').append(next);
        } else if (next < ' ') {
          result.append(String.format("\\u%04x", (int) next));
        } else {
          result.append(next);
        }
      }
      result.append('"');
    } else {
      result.append(value);
    }
  }
}
