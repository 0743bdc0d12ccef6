package org.toucanmast.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/** The VMs that a balancer would send callers to: it asks each for its readiness now and then. */
public final class ReadyVms implements Supplier<List<String>> {
  private static final long INTERVAL_IN_MILLISECONDS = 50;
  private final Fleet fleet;
  private volatile List<String> addresses;

  /** Begins to ask; ends when the fleet closes. */
  public ReadyVms(Fleet fleet) {
    this.fleet = fleet;
    this.addresses = fleet.callerAddresses();
    Thread thread = new Thread(this::ask, "balancer");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public List<String> get() {
    return addresses;
  }

  private void ask() {
    try {
      while (!fleet.isClosed()) {
        refresh();
        Thread.sleep(INTERVAL_IN_MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void refresh() {
    List<String> ready = new ArrayList<>();
    for (FleetVm vm : List.copyOf(fleet.vms().values())) {
      if (vm.process().isAlive() && fleet.control().isReady(vm.admin())) {
        ready.add(vm.callers());
      }
    }
    if (!ready.isEmpty()) {
      addresses = ready;
    }
  }
}
