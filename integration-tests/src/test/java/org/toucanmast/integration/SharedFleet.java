package org.toucanmast.integration;

import java.io.IOException;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;

/** One fleet for all test classes that leave it as they found it. */
final class SharedFleet implements BeforeAllCallback {
  private static Fleet fleet;

  static Fleet fleet() {
    return fleet;
  }

  static String vm(int number) {
    return fleet.vms().get("vm-" + number).callerAddress();
  }

  /** Returns the value of an endpoint's name in the group's control listener. */
  static String control(String database) {
    return fleet.databaseControls().get(database);
  }

  @Override
  public void beforeAll(ExtensionContext context) throws IOException {
    if (fleet == null) {
      fleet = Fleet.start(FleetPlan.of(Deployment.QUICKSTART));
      context
          .getRoot()
          .getStore(ExtensionContext.Namespace.GLOBAL)
          .put("fleet", (AutoCloseable) fleet::close);
    }
  }
}
