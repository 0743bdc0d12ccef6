package org.toucanmast.runtime.ini;

import com.google.protobuf.InvalidProtocolBufferException;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.core.text.TextProblem;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.Section;

/** Converts configuration documents to and from INI, for operators, and JSON, for the platform. */
public final class ConfigurationText {
  private static final String STORED = "the configuration";
  private static final String NOT_INI = "cannot be written as INI, only as JSON";
  private static final String AMBIGUOUS =
      "is ambiguous: quotes, backslashes or line breaks do not belong together";

  private ConfigurationText() {}

  /**
   * Reads a document from an operator's INI file, without validating its values.
   *
   * @throws InvalidTextException when the file is not well formed or a section header is not a kind
   *     and a name
   */
  public static ConfigurationDocument readIni(Path file) throws InvalidTextException {
    return ofSections(IniFile.read(file), file.toString());
  }

  /**
   * Parses a document in INI form, without validating its values.
   *
   * @param source the name of the text in error messages
   * @throws InvalidTextException when the text is not well formed or a section header is not a kind
   *     and a name
   */
  public static ConfigurationDocument parseIni(String text, String source)
      throws InvalidTextException {
    return ofSections(IniFile.parse(text, source), source);
  }

  private static ConfigurationDocument ofSections(
      Map<String, Map<String, String>> sections, String source) throws InvalidTextException {
    ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
    List<TextProblem> problems = new ArrayList<>();
    sections.forEach(
        (header, values) -> {
          int space = header.indexOf(' ');
          if (space <= 0 || header.indexOf(' ', space + 1) >= 0) {
            problems.add(
                new TextProblem(source, header, "", "expected a kind and a name in the header"));
            return;
          }
          values.forEach(
              (key, value) -> {
                // An accepted value must not be refused when the configuration is shown.
                if (IniFile.format(key, value).isEmpty()) {
                  problems.add(new TextProblem(source, header, key, AMBIGUOUS));
                }
              });
          document.addSections(
              Section.newBuilder()
                  .setKind(header.substring(0, space))
                  .setName(header.substring(space + 1))
                  .putAllValues(values));
        });
    if (!problems.isEmpty()) {
      throw new InvalidTextException(problems);
    }
    return document.build();
  }

  /**
   * Returns a document as INI, with sections in the document's order and keys sorted; {@link
   * #parseIni} reads the same document.
   *
   * @throws InvalidTextException when INI cannot carry a header, a key or a value
   */
  public static String toIni(ConfigurationDocument document) throws InvalidTextException {
    StringBuilder text = new StringBuilder();
    List<TextProblem> problems = new ArrayList<>();
    for (Section section : document.getSectionsList()) {
      if (!text.isEmpty()) {
        text.append('\n');
      }
      text.append('[').append(section.getKind()).append(' ').append(section.getName());
      text.append("]\n");
      String header = section.getKind() + " " + section.getName();
      new TreeMap<>(section.getValuesMap())
          .forEach(
              (key, value) ->
                  IniFile.format(key, value)
                      .ifPresentOrElse(
                          text::append,
                          () -> problems.add(new TextProblem(STORED, header, key, NOT_INI))));
    }
    if (problems.isEmpty() && !parseIni(text.toString(), STORED).equals(document)) {
      problems.add(new TextProblem(STORED, "", "", NOT_INI));
    }
    if (!problems.isEmpty()) {
      throw new InvalidTextException(problems);
    }
    return text.toString();
  }

  /** Returns a document as JSON, as the platform stores it. */
  public static JsonObject toJson(ConfigurationDocument document) {
    JsonArray sections = new JsonArray();
    for (Section section : document.getSectionsList()) {
      JsonObject values = new JsonObject();
      new TreeMap<>(section.getValuesMap()).forEach(values::put);
      sections.add(
          new JsonObject()
              .put("kind", section.getKind())
              .put("name", section.getName())
              .put("values", values));
    }
    return new JsonObject().put("sections", sections);
  }

  /**
   * Parses a document from the JSON that the platform stores.
   *
   * @throws InvalidProtocolBufferException when the JSON is not a configuration document
   */
  public static ConfigurationDocument ofJson(String json) throws InvalidProtocolBufferException {
    try {
      ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();
      JsonArray sections = new JsonObject(json).getJsonArray("sections", new JsonArray());
      for (int index = 0; index < sections.size(); index++) {
        JsonObject section = sections.getJsonObject(index);
        Section.Builder builder =
            Section.newBuilder()
                .setKind(section.getString("kind"))
                .setName(section.getString("name"));
        JsonObject values = section.getJsonObject("values", new JsonObject());
        values.forEach(entry -> builder.putValues(entry.getKey(), (String) entry.getValue()));
        document.addSections(builder);
      }
      return document.build();
    } catch (DecodeException | ClassCastException | NullPointerException e) {
      throw new InvalidProtocolBufferException("not a configuration document: " + e.getMessage());
    }
  }
}
