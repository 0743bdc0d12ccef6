package org.toucanmast.runtime.ini;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.Section;

/** Tests that a configuration that is shown as INI and applied again is the same one. */
class ConfigurationTextTest {

  private static ConfigurationDocument document(String name, Map<String, String> values) {
    return ConfigurationDocument.newBuilder()
        .addSections(
            Section.newBuilder().setKind("customer").setName(name).putAllValues(values).build())
        .addSections(
            Section.newBuilder().setKind("customer").setName("next").putValues("rate", "1/s"))
        .build();
  }

  private static void assertReadBack(ConfigurationDocument document) throws InvalidTextException {
    assertThat(ConfigurationText.parseIni(ConfigurationText.toIni(document), "shown"))
        .isEqualTo(document);
  }

  @Provide
  Arbitrary<String> texts() {
    return Arbitraries.strings()
        .withChars("ab=#;:,[](){}$@.\\\"' \t\r\n\u00e9\u2028")
        .ofMaxLength(8);
  }

  /** Quotes, comments and line breaks in a value were lost, or made other keys. */
  @Property(tries = 2_000, seed = "7225958230589514805")
  void should_read_back_each_document_that_can_be_written(
      @ForAll("texts") String name, @ForAll("texts") String key, @ForAll("texts") String value) {
    ConfigurationDocument document = document(name, Map.of(key, value));
    String text;
    try {
      text = ConfigurationText.toIni(document);
    } catch (InvalidTextException e) {
      return;
    }
    try {
      assertThat(ConfigurationText.parseIni(text, "shown")).isEqualTo(document);
    } catch (InvalidTextException e) {
      throw new AssertionError(text, e);
    }
  }

  /** What operators can write must not be refused when it is shown. */
  @Property(tries = 2_000, seed = "7225958230589514805")
  void should_write_each_value_that_was_read(@ForAll("texts") String value) {
    ConfigurationDocument document;
    try {
      document = ConfigurationText.parseIni("[customer a]\nnote = " + value + "\n", "file");
    } catch (InvalidTextException e) {
      return;
    }
    try {
      assertReadBack(document);
    } catch (InvalidTextException e) {
      throw new AssertionError(document.toString(), e);
    }
  }

  @Example
  void should_show_a_list_that_the_operator_has_written_on_two_lines() throws Exception {
    ConfigurationDocument document =
        ConfigurationText.parseIni("[customer a]\ndatabases = stock, \\\n  requests\n", "file");

    assertReadBack(document);
  }

  @Example
  void should_quote_a_value_that_would_end_in_a_comment() throws Exception {
    assertThat(ConfigurationText.toIni(document("a", Map.of("note", "x ; y"))))
        .contains("note = \"x ; y\"\n");
  }

  @Example
  void should_refuse_to_show_what_ini_cannot_carry() {
    assertThatThrownBy(() -> ConfigurationText.toIni(document("a", Map.of("#note", "x"))))
        .isInstanceOf(InvalidTextException.class)
        .hasMessage(
            "the configuration: [customer a] #note: cannot be written as INI, only as JSON");
  }

  /** A quote that is not closed was accepted, and the configuration could not be shown any more. */
  @Example
  void should_refuse_a_value_that_could_not_be_shown() {
    assertThatThrownBy(
            () -> ConfigurationText.parseIni("[customer a]\nnote = \"a \\\n a\n", "file"))
        .isInstanceOf(InvalidTextException.class)
        .hasMessage(
            "file: [customer a] note: is ambiguous: quotes, backslashes or line breaks do not"
                + " belong together");
  }
}
