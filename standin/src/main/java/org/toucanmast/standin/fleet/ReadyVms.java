package org.toucanmast.standin.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

/**
 * The caller addresses of the VMs that report readiness, as a load balancer knows them.
 *
 * <p>A thread probes every running VM, with pauses of 50 ms between the rounds. While no VM is
 * ready, the addresses of the last round with a ready VM stay.
 */
public final class ReadyVms implements Supplier<List<String>> {
  private static final long PROBE_PAUSE_IN_MILLISECONDS = 50;
  private final Fleet fleet;
  private volatile List<String> addresses;

  /** Starts the readiness probes with all VMs of the fleet; they end when the fleet is closed. */
  public ReadyVms(Fleet fleet) {
    this.fleet = fleet;
    this.addresses = fleet.callerAddresses();
    Thread thread = new Thread(this::probe, "balancer");
    thread.setDaemon(true);
    thread.start();
  }

  @Override
  public List<String> get() {
    return addresses;
  }

  private void probe() {
    try {
      while (!fleet.isClosed()) {
        refresh();
        Thread.sleep(PROBE_PAUSE_IN_MILLISECONDS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void refresh() {
    List<String> ready = new ArrayList<>();
    for (FleetVm vm : List.copyOf(fleet.vms().values())) {
      if (vm.process().isAlive() && fleet.control().isReady(vm.adminAddress())) {
        ready.add(vm.callerAddress());
      }
    }
    if (!ready.isEmpty()) {
      addresses = ready;
    }
  }
}
