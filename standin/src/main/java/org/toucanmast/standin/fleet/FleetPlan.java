package org.toucanmast.standin.fleet;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import org.toucanmast.standin.database.EndpointSettings;

/**
 * What a fleet consists of.
 *
 * <p>Example: {@code
 * FleetPlan.of(Deployment.LENTES).withVms(3).withListLag(Duration.ofSeconds(2))}.
 *
 * @param deployment the sample deployment
 * @param configuration its configuration as INI, with places for addresses and keys
 * @param vms how many entry VMs
 * @param listLag how late the platform's list shows a change
 * @param endpoints how endpoints behave
 * @param settings settings of VMs that differ from their defaults, by section and key
 */
public record FleetPlan(
    Deployment deployment,
    String configuration,
    int vms,
    Duration listLag,
    EndpointSettings endpoints,
    Map<String, String> settings) {
  private static final int DEFAULT_VMS = 3;
  private static final Duration DEFAULT_LIST_LAG = Duration.ofMillis(500);

  /** Keeps a copy of the settings. */
  public FleetPlan {
    settings = Map.copyOf(settings);
  }

  /** Returns the plan of a deployment with three VMs. */
  public static FleetPlan of(Deployment deployment) {
    return new FleetPlan(
        deployment,
        deployment.template(),
        DEFAULT_VMS,
        DEFAULT_LIST_LAG,
        deployment.endpoints(),
        Map.of("platform.list-interval", "500ms"));
  }

  /** Returns the plan with another number of VMs. */
  public FleetPlan withVms(int count) {
    return new FleetPlan(deployment, configuration, count, listLag, endpoints, settings);
  }

  /** Returns the plan with another lag of the platform's list. */
  public FleetPlan withListLag(Duration lag) {
    return new FleetPlan(deployment, configuration, vms, lag, endpoints, settings);
  }

  /** Returns the plan with another configuration. */
  public FleetPlan withConfiguration(String ini) {
    return new FleetPlan(deployment, ini, vms, listLag, endpoints, settings);
  }

  /** Returns the plan with other endpoints. */
  public FleetPlan withEndpoints(EndpointSettings changed) {
    return new FleetPlan(deployment, configuration, vms, listLag, changed, settings);
  }

  /**
   * Returns the plan with one more setting of all VMs.
   *
   * @param key section and key, for example {@code databases.suspicion-timeout}
   */
  public FleetPlan withSetting(String key, String value) {
    Map<String, String> changed = new LinkedHashMap<>(settings);
    changed.put(key, value);
    return new FleetPlan(deployment, configuration, vms, listLag, endpoints, changed);
  }
}
