package org.toucanmast.standin.load;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanmast.core.configuration.Allowance;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.core.text.SectionReader;
import org.toucanmast.runtime.ini.IniFile;
import org.toucanmast.schema.LoadCustomerSection;
import org.toucanmast.schema.LoadSection;

/**
 * The configuration of a load run.
 *
 * @param load the duration, the warm-up and the random seed
 * @param customers the load of each customer, by the customer's name
 */
public record LoadScenario(LoadSection load, Map<String, LoadCustomerSection> customers) {
  private static final String CUSTOMER_HEADER_PREFIX = "customer ";

  /** Copies the customers and keeps their order. */
  public LoadScenario {
    customers = new LinkedHashMap<>(customers);
  }

  /** Returns the allowance of each customer as given in the scenario, by the customer's name. */
  public Map<String, Allowance> allowances() {
    Map<String, Allowance> allowances = new LinkedHashMap<>();
    customers.forEach(
        (name, section) ->
            allowances.put(name, new Allowance(section.getRate(), section.getBurst())));
    return allowances;
  }

  /**
   * Reads a scenario file.
   *
   * @throws InvalidTextException if the file cannot be read or is not a valid scenario
   */
  public static LoadScenario read(Path file) throws InvalidTextException {
    return of(IniFile.read(file), file.toString());
  }

  /**
   * Parses a scenario.
   *
   * @param source the name of the source, for error messages
   * @throws InvalidTextException if the text is not a valid scenario
   */
  public static LoadScenario parse(String text, String source) throws InvalidTextException {
    return of(IniFile.parse(text, source), source);
  }

  private static LoadScenario of(Map<String, Map<String, String>> sections, String source)
      throws InvalidTextException {
    SectionReader reader = new SectionReader(source);
    Map<String, LoadCustomerSection> customers = new LinkedHashMap<>();
    sections.forEach(
        (header, values) -> {
          if (header.startsWith(CUSTOMER_HEADER_PREFIX)) {
            customers.put(
                header.substring(CUSTOMER_HEADER_PREFIX.length()),
                reader.read(header, values, LoadCustomerSection.getDefaultInstance()));
          } else if (!header.equals("load")) {
            reader.report(header, "", "is not a known section; expected load or customer NAME");
          }
        });
    LoadSection load =
        reader.read(
            "load", sections.getOrDefault("load", Map.of()), LoadSection.getDefaultInstance());
    reader.throwIfInvalid();
    return new LoadScenario(load, customers);
  }
}
