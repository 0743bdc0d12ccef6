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
 * Parses sections of key-value pairs into protobuf messages of their schema.
 *
 * <p>Example: {@code new SectionReader("vm.ini").read("vm", values,
 * VmSettings.getDefaultInstance())}. Problems are collected, so that operators see all of them at
 * once.
 */
public final class SectionReader {
  private final String source;
  private final List<TextProblem> problems = new ArrayList<>();

  /** Creates a reader that names the given file or document in its problems. */
  public SectionReader(String source) {
    this.source = source;
  }

  /**
   * Parses one section. Missing optional keys take their default value; missing required keys,
   * unknown keys and invalid values are reported as problems.
   *
   * @param <T> the message type of the section
   * @param section the name of the section in problems
   * @param values the section's values by key
   * @param schema the default instance of the message type
   * @return the parsed section; fields with problems are left unset
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

  /** Adds a problem; the key is empty when the section as a whole is invalid. */
  public void report(String section, String key, String reason) {
    problems.add(new TextProblem(source, section, key, reason));
  }

  /**
   * Throws if any problem was reported.
   *
   * @throws InvalidTextException with all reported problems
   */
  public void throwIfInvalid() throws InvalidTextException {
    if (!problems.isEmpty()) {
      throw new InvalidTextException(problems);
    }
  }

  /** Returns the key of a field: its name with hyphens, for example {@code time-zone}. */
  public static String keyName(FieldDescriptor field) {
    return field.getName().replace('_', '-');
  }

  /** Returns the keys of all fields of a message type. */
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
    String effectiveText = text == null ? key.getDefaultValue() : text.strip();
    try {
      Object value = ValueFormat.valueOf(key.getKind().name()).parse(effectiveText);
      checkChoice(key, effectiveText);
      checkRange(key, value, effectiveText);
      if (key.getRequired() && value instanceof List<?> list && list.isEmpty()) {
        throw new ValueFormatException("at least one value", effectiveText);
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
