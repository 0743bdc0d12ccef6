/** Reads fields of the JSON objects that the system sends, which are valid. */
final class Json {
  private Json() {}

  static String quote(String text) {
    return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
  }

  /** Returns the text of a field of an object; empty if it is missing. */
  static String text(String object, String field) {
    String raw = raw(object, field);
    return raw.startsWith("\"")
        ? raw.substring(1, raw.length() - 1).replace("\\\"", "\"").replace("\\\\", "\\")
        : raw;
  }

  /** Returns the JSON of a field at the first level of an object; empty if it is missing. */
  static String raw(String object, String field) {
    int depth = 0;
    int index = 0;
    while (index < object.length()) {
      char character = object.charAt(index);
      if (character == '{' || character == '[') {
        depth++;
      } else if (character == '}' || character == ']') {
        depth--;
      } else if (character == '"') {
        int end = endOfString(object, index);
        int after = skipBlanks(object, end);
        boolean isName = depth == 1 && after < object.length() && object.charAt(after) == ':';
        if (isName && object.substring(index + 1, end - 1).equals(field)) {
          int start = skipBlanks(object, after + 1);
          return object.substring(start, endOfValue(object, start)).strip();
        }
        index = end;
        continue;
      }
      index++;
    }
    return "";
  }

  private static int skipBlanks(String text, int from) {
    int index = from;
    while (index < text.length() && Character.isWhitespace(text.charAt(index))) {
      index++;
    }
    return index;
  }

  private static int endOfString(String text, int start) {
    int index = start + 1;
    while (text.charAt(index) != '"') {
      index += text.charAt(index) == '\\' ? 2 : 1;
    }
    return index + 1;
  }

  private static int endOfValue(String text, int start) {
    int depth = 0;
    int index = start;
    while (index < text.length()) {
      char character = text.charAt(index);
      if (character == '"') {
        index = endOfString(text, index);
        continue;
      }
      if (character == '{' || character == '[') {
        depth++;
      } else if (character == '}' || character == ']') {
        if (depth == 0) {
          return index;
        }
        depth--;
      } else if (character == ',' && depth == 0) {
        return index;
      }
      index++;
    }
    return index;
  }
}
