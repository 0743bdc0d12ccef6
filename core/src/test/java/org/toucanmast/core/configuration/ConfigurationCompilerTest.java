package org.toucanmast.core.configuration;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.schema.ConfigurationDocument;
import org.toucanmast.schema.Section;

class ConfigurationCompilerTest {
  private static final String KEY_HASH = "a".repeat(64);
  private final ConfigurationDocument.Builder document = ConfigurationDocument.newBuilder();

  private ConfigurationCompilerTest section(String kind, String name, Map<String, String> values) {
    document.addSections(Section.newBuilder().setKind(kind).setName(name).putAllValues(values));
    return this;
  }

  private ConfigurationCompilerTest withFleet() {
    section("data-centre", "east", Map.of());
    section("endpoint", "stock-1", Map.of("address", "127.0.0.1:9001", "data-centre", "east"));
    section("database", "stock", Map.of("endpoints", "stock-1"));
    return section(
        "template", "bench", Map.of("rate", "${rate}", "burst", "10", "databases", "stock"));
  }

  private FleetConfiguration compile() throws InvalidTextException {
    return ConfigurationCompiler.compile(document.build(), 7, "fleet.ini");
  }

  @Test
  void should_substitute_template_parameters_with_the_values_of_a_customer()
      throws InvalidTextException {
    withFleet()
        .section("customer", "b1", Map.of("template", "bench", "rate", "20/s", "keys", KEY_HASH));

    Customer customer = compile().customers().get("b1");

    assertThat(customer.allowance()).isEqualTo(new Allowance(20, 10));
    assertThat(customer.databases()).containsExactly("stock");
    assertThat(compile().customersByKey()).containsEntry(KEY_HASH, "b1");
  }

  /** A value that named its own parameter ended in an exception that no caller expects. */
  @Test
  void should_refuse_a_customer_whose_value_names_a_parameter() {
    withFleet();
    section("template", "own", Map.of("rate", "${pace}", "burst", "10", "databases", "stock"));
    section("customer", "b1", Map.of("template", "own", "pace", "${pace}"));

    assertThatThrownBy(this::compile)
        .isInstanceOf(InvalidTextException.class)
        .hasMessageContaining(
            "[customer b1] rate: expected a rate such as 20/s but found '${pace}'");
  }

  /** One of the two had the rate of the other, and both took from one allowance. */
  @Test
  void should_refuse_a_customer_with_the_name_of_the_allowance_of_a_route() {
    withFleet();
    section("route", "open", Map.of("database", "stock", "prefix", "p-"));
    section("customer", "route:open", Map.of("template", "bench", "rate", "20/s"));

    assertThatThrownBy(this::compile)
        .isInstanceOf(InvalidTextException.class)
        .hasMessage(
            "fleet.ini: [customer route:open]: has the name of the allowance of route 'open'");
  }

  @Test
  void should_refuse_an_unknown_template_and_name_file_section_and_key() {
    withFleet().section("customer", "b1", Map.of("template", "missing"));

    assertThatThrownBy(this::compile)
        .isInstanceOf(InvalidTextException.class)
        .hasMessage("fleet.ini: [customer b1] template: names the unknown template 'missing'");
  }

  @Test
  void should_refuse_an_unknown_parameter_and_a_missing_one() {
    withFleet().section("customer", "b1", Map.of("template", "bench", "speed", "1"));

    assertThatThrownBy(this::compile)
        .hasMessageContaining("[customer b1] speed: is neither a key nor a parameter")
        .hasMessageContaining("[customer b1] rate: is a parameter of the template and is missing");
  }

  @Test
  void should_refuse_an_unknown_database() {
    withFleet()
        .section(
            "customer", "b1", Map.of("rate", "1/s", "burst", "1", "databases", "stock, other"));

    assertThatThrownBy(this::compile)
        .hasMessageContaining("[customer b1] databases: names the unknown database 'other'");
  }

  @Test
  void should_refuse_the_same_key_for_two_customers() {
    withFleet()
        .section("customer", "b1", Map.of("template", "bench", "rate", "1/s", "keys", KEY_HASH))
        .section("customer", "b2", Map.of("template", "bench", "rate", "1/s", "keys", KEY_HASH));

    assertThatThrownBy(this::compile).hasMessageContaining("belongs to customer 'b1' too");
  }

  @Test
  void should_report_every_problem_at_once() {
    section("endpoint", "stock-1", Map.of("address", "localhost:9001", "data-centre", "west"));
    section("nonsense", "x", Map.of());
    section("database", "stock", Map.of("endpoints", "stock-1", "acknowledge", "maybe"));

    assertThatThrownBy(this::compile)
        .hasMessageContaining("[endpoint stock-1] address: expected an IP address and a port")
        .hasMessageContaining("names the unknown data-centre 'west'")
        .hasMessageContaining("[nonsense x]: is not a known kind of section")
        .hasMessageContaining("[database stock] acknowledge: expected one of [position, term]");
  }

  @Test
  void should_apply_opening_hours_across_midnight_in_the_customers_time_zone()
      throws InvalidTextException {
    withFleet()
        .section(
            "customer",
            "night",
            Map.of(
                "template", "bench",
                "rate", "1/s",
                "opening-hours", "22:00-02:00",
                "time-zone", "America/Bogota"));

    OpeningHours hours = compile().customers().get("night").hours();

    assertThat(hours.isOpen(Instant.parse("2026-12-04T03:30:00Z"))).isTrue();
    assertThat(hours.isOpen(Instant.parse("2026-12-04T06:59:59Z"))).isTrue();
    assertThat(hours.isOpen(Instant.parse("2026-12-04T07:00:00Z"))).isFalse();
  }

  @Test
  void should_apply_only_higher_revisions() throws InvalidTextException {
    ConfigurationState state = new ConfigurationState();
    withFleet();

    assertThat(state.replaceIfNewer(compile())).isTrue();
    assertThat(state.replaceIfNewer(ConfigurationCompiler.compile(document.build(), 6, "old")))
        .isFalse();
    assertThat(state.current().revision()).isEqualTo(7);
  }

  @Test
  void should_ignore_confirmations_of_other_revisions_and_of_earlier_times()
      throws InvalidTextException {
    ConfigurationState state = new ConfigurationState();
    state.replaceIfNewer(withFleet().compile());

    state.confirm(6, 100);
    assertThat(state.confirmationAgeInNanoseconds(200)).isEqualTo(-1);
    state.confirm(7, 100);
    state.confirm(7, 50);
    assertThat(state.confirmationAgeInNanoseconds(200)).isEqualTo(100);
  }
}
