package org.toucanmast.standin.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanmast.standin.database.EndpointSettings;

/**
 * The description of a fleet to start.
 *
 * <p>Example: {@code
 * FleetPlan.of(Deployment.LENTES).withVms(3).withListLag(Duration.ofSeconds(2))}.
 *
 * @param deployment the sample deployment
 * @param configuration its configuration as INI, with placeholders for addresses and keys
 * @param vms the number of entry VMs
 * @param listLag the delay after which the platform's list of VMs shows a change
 * @param endpointSettings the settings of the endpoints
 * @param settings settings of all VMs that differ from the defaults; keys have the form {@code
 *     section.key}
 */
public record FleetPlan(
    Deployment deployment,
    String configuration,
    int vms,
    Duration listLag,
    EndpointSettings endpointSettings,
    Map<String, String> settings) {
  private static final int DEFAULT_VMS = 3;
  private static final Duration DEFAULT_LIST_LAG = Duration.ofMillis(500);

  /** Copies the settings. */
  public FleetPlan {
    settings = Map.copyOf(settings);
  }

  /** Returns the plan of a deployment with three VMs and a list lag of 500 ms. */
  public static FleetPlan of(Deployment deployment) {
    return new FleetPlan(
        deployment,
        deployment.template(),
        DEFAULT_VMS,
        DEFAULT_LIST_LAG,
        deployment.endpointSettings(),
        Map.of("platform.list-interval", "500ms"));
  }

  /** Returns a copy of this plan with the given number of VMs. */
  public FleetPlan withVms(int count) {
    return new FleetPlan(deployment, configuration, count, listLag, endpointSettings, settings);
  }

  /** Returns a copy of this plan with the given list lag. */
  public FleetPlan withListLag(Duration lag) {
    return new FleetPlan(deployment, configuration, vms, lag, endpointSettings, settings);
  }

  /**
   * Returns a copy of this plan with the given configuration.
   *
   * @param ini the configuration as INI, with placeholders for addresses and keys
   */
  public FleetPlan withConfiguration(String ini) {
    return new FleetPlan(deployment, ini, vms, listLag, endpointSettings, settings);
  }

  /** Returns a copy of this plan with the given settings of the endpoints. */
  public FleetPlan withEndpointSettings(EndpointSettings changed) {
    return new FleetPlan(deployment, configuration, vms, listLag, changed, settings);
  }

  /**
   * Returns a copy of this plan in which all VMs have the given setting.
   *
   * @param key section and key, for example {@code databases.suspicion-timeout}
   */
  public FleetPlan withSetting(String key, String value) {
    Map<String, String> changed = new LinkedHashMap<>(settings);
    changed.put(key, value);
    return new FleetPlan(deployment, configuration, vms, listLag, endpointSettings, changed);
  }
}
