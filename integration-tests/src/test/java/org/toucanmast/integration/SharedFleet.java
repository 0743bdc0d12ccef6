package org.toucanmast.integration;

import java.io.IOException;
import org.junit.jupiter.api.extension.BeforeAllCallback;
import org.junit.jupiter.api.extension.ExtensionContext;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;

/** Starts one fleet that is shared by all test classes that stop none of its processes. */
final class SharedFleet implements BeforeAllCallback {
  private static Fleet fleet;

  static Fleet fleet() {
    return fleet;
  }

  /** Returns the address at which a VM listens for callers. */
  static String callerAddress(int vmNumber) {
    return fleet.vms().get("vm-" + vmNumber).callerAddress();
  }

  /** Returns the address of the control listener of a database's stand-in. */
  static String databaseControl(String database) {
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
