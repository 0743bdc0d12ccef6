package org.toucanmast.core.text;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.toucanmast.schema.Key;
import org.toucanmast.schema.TextProto;

/**
 * Reads the keys of one section into a schema message.
 *
 * <p>Example: {@code new SectionReader("vm.ini").read("vm", values,
 * VmSettings.getDefaultInstance())}. Problems are collected, so that an operator sees all of them
 * at once.
 */
public final class SectionReader {
  private final String source;
  private final List<TextProblem> problems = new ArrayList<>();

  /** Creates a reader whose problems name the given file or document. */
  public SectionReader(String source) {
    this.source = source;
  }

  /**
   * Reads one section; missing keys take their defaults, unknown keys become problems.
   *
   * @param <T> the schema message of the section
   */
  @SuppressWarnings("unchecked")
  public <T extends Message> T read(String section, Map<String, String> values, T schema) {
    Descriptor descriptor = schema.getDescriptorForType();
    Message.Builder builder = schema.newBuilderForType();
    for (String key : values.keySet()) {
      if (descriptor.findFieldByName(fieldName(key)) == null || key.indexOf('_') >= 0) {
        report(section, key, "is not a known key; expected one of " + keysOf(descriptor));
      }
    }
    for (FieldDescriptor field : descriptor.getFields()) {
      readField(section, values.get(keyName(field)), field, builder);
    }
    return (T) builder.build();
  }

  /** Adds a problem found by the caller. */
  public void report(String section, String key, String reason) {
    problems.add(new TextProblem(source, section, key, reason));
  }

  /**
   * Ends the reading.
   *
   * @throws InvalidTextException when any problem was found
   */
  public void throwIfInvalid() throws InvalidTextException {
    if (!problems.isEmpty()) {
      throw new InvalidTextException(problems);
    }
  }

  /** Returns the key under which a field stands in a text, for example {@code time-zone}. */
  public static String keyName(FieldDescriptor field) {
    return field.getName().replace('_', '-');
  }

  /** Returns the keys of a section's schema. */
  public static List<String> keysOf(Descriptor descriptor) {
    return descriptor.getFields().stream().map(SectionReader::keyName).toList();
  }

  private static String fieldName(String key) {
    return key.replace('-', '_');
  }

  private void readField(
      String section, String text, FieldDescriptor field, Message.Builder builder) {
    Key key = field.getOptions().getExtension(TextProto.key);
    if (text == null && key.getRequired()) {
      report(section, keyName(field), "is missing");
      return;
    }
    String effective = text == null ? key.getDefaultValue() : text.strip();
    try {
      Object value = ValueFormat.valueOf(key.getKind().name()).parse(effective);
      checkChoice(key, effective);
      checkRange(key, value, effective);
      if (key.getRequired() && value instanceof List<?> list && list.isEmpty()) {
        throw new ValueFormatException("at least one value", effective);
      }
      builder.setField(field, value);
    } catch (ValueFormatException e) {
      report(section, keyName(field), e.getMessage());
    }
  }

  private static void checkChoice(Key key, String text) throws ValueFormatException {
    if (key.getChoicesCount() > 0 && !key.getChoicesList().contains(text)) {
      throw new ValueFormatException("one of " + key.getChoicesList(), text);
    }
  }

  private static void checkRange(Key key, Object value, String text) throws ValueFormatException {
    if (key.getMinimum().isEmpty()) {
      return;
    }
    ValueFormat format = ValueFormat.valueOf(key.getKind().name());
    double number = ((Number) value).doubleValue();
    double minimum = ((Number) format.parse(key.getMinimum())).doubleValue();
    double maximum = ((Number) format.parse(key.getMaximum())).doubleValue();
    if (number < minimum || number > maximum) {
      throw new ValueFormatException(
          "a value from " + key.getMinimum() + " to " + key.getMaximum(), text);
    }
  }
}
