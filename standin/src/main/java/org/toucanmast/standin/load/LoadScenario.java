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
 * What a load run sends.
 *
 * @param load duration and seed
 * @param customers what each customer sends, by name
 */
public record LoadScenario(LoadSection load, Map<String, LoadCustomerSection> customers) {
  private static final String CUSTOMER = "customer ";

  /** Keeps a copy, in order. */
  public LoadScenario {
    customers = new LinkedHashMap<>(customers);
  }

  /** Returns the allowance of each customer, as the scenario names it. */
  public Map<String, Allowance> allowances() {
    Map<String, Allowance> allowances = new LinkedHashMap<>();
    customers.forEach(
        (name, section) ->
            allowances.put(name, new Allowance(section.getRate(), section.getBurst())));
    return allowances;
  }

  /** Reads a scenario file. */
  public static LoadScenario read(Path file) throws InvalidTextException {
    return of(IniFile.read(file), file.toString());
  }

  /** Parses a scenario. */
  public static LoadScenario parse(String text, String source) throws InvalidTextException {
    return of(IniFile.parse(text, source), source);
  }

  private static LoadScenario of(Map<String, Map<String, String>> sections, String source)
      throws InvalidTextException {
    SectionReader reader = new SectionReader(source);
    Map<String, LoadCustomerSection> customers = new LinkedHashMap<>();
    sections.forEach(
        (header, values) -> {
          if (header.startsWith(CUSTOMER)) {
            customers.put(
                header.substring(CUSTOMER.length()),
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
