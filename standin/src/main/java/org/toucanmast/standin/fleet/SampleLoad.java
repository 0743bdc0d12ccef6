package org.toucanmast.standin.fleet;

import java.util.Map;
import java.util.TreeMap;
import org.toucanmast.core.configuration.ConfigurationCompiler;
import org.toucanmast.core.configuration.Customer;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.ConfigurationText;
import org.toucanmast.standin.load.LoadScenario;

/**
 * Creates load scenarios in which every customer of a configuration sends a fraction of its rate.
 */
public final class SampleLoad {
  private SampleLoad() {}

  /**
   * Returns the load scenario for a configuration.
   *
   * @param configuration the configuration as INI, with all placeholders filled
   * @param fraction the arrival rate as a fraction of each customer's permitted rate
   * @param duration the length of the load with its unit, for example {@code 30s}
   * @param seed the seed of the generated load
   * @param overrides scenario values that replace the generated ones, by customer and key
   * @throws InvalidTextException if the configuration or the scenario is invalid
   */
  public static LoadScenario of(
      String configuration,
      double fraction,
      String duration,
      long seed,
      Map<String, Map<String, String>> overrides)
      throws InvalidTextException {
    FleetConfiguration compiled =
        ConfigurationCompiler.compile(
            ConfigurationText.parseIni(configuration, "configuration"), 1, "configuration");
    StringBuilder text =
        new StringBuilder("[load]\nduration = " + duration + "\nseed = " + seed + "\n");
    for (Customer customer : new TreeMap<>(compiled.customers()).values()) {
      Map<String, String> values = new TreeMap<>();
      values.put("key", Fleet.keyOf(customer.name()));
      values.put("database", customer.databases().stream().sorted().findFirst().orElseThrow());
      values.put("rate", (long) customer.allowance().rate() + "/s");
      values.put("burst", Long.toString((long) customer.allowance().burst()));
      values.put("arrivals", String.format("%.2f/s", customer.allowance().rate() * fraction));
      values.putAll(overrides.getOrDefault(customer.name(), Map.of()));
      text.append("\n[customer ").append(customer.name()).append("]\n");
      values.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
    }
    return LoadScenario.parse(text.toString(), "sample load");
  }
}
