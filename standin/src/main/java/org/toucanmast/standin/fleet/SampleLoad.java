package org.toucanmast.standin.fleet;

import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.core.configuration.ConfigurationCompiler;
import org.toucanmast.core.configuration.Customer;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.ConfigurationText;
import org.toucanmast.standin.load.LoadScenario;

/** Makes load scenarios in which every customer of a configuration sends part of its rate. */
public final class SampleLoad {
  private SampleLoad() {}

  /**
   * Returns the scenario of a filled configuration text.
   *
   * @param share the arrivals as a part of each customer's rate
   * @param overrides keys of single customers that differ, by customer and key
   */
  public static LoadScenario of(
      String configuration,
      double share,
      String duration,
      long seed,
      Map<String, Map<String, String>> overrides)
      throws InvalidTextException {
    FleetConfiguration fleet =
        ConfigurationCompiler.compile(
            ConfigurationText.parseIni(configuration, "configuration"), 1, "configuration");
    StringBuilder text =
        new StringBuilder("[load]\nduration = " + duration + "\nseed = " + seed + "\n");
    for (Customer customer : new TreeMap<>(fleet.customers()).values()) {
      Map<String, String> values = new TreeMap<>();
      values.put("key", Fleet.keyOf(customer.name()));
      values.put("database", customer.databases().stream().sorted().findFirst().orElseThrow());
      values.put("rate", (long) customer.allowance().rate() + "/s");
      values.put("burst", Long.toString((long) customer.allowance().burst()));
      values.put("arrivals", String.format("%.2f/s", customer.allowance().rate() * share));
      values.putAll(overrides.getOrDefault(customer.name(), Map.of()));
      text.append("\n[customer ").append(customer.name()).append("]\n");
      values.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
    }
    return LoadScenario.parse(text.toString(), "sample load");
  }
}
