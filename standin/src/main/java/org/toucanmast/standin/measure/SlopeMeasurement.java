package org.toucanmast.standin.measure;

import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.FleetVm;

/** Measures what control costs a VM at rest, as the number of VMs and of customers grows. */
final class SlopeMeasurement {
  private final long seconds;

  SlopeMeasurement(long seconds) {
    this.seconds = seconds;
  }

  /**
   * Returns a row of: VMs, customers, processor in percent of a core, memory, peer bytes and
   * messages a second, platform calls a second of all VMs, configuration delay in milliseconds.
   */
  List<String> run(int vms, int extraCustomers) throws IOException {
    StringBuilder configuration = new StringBuilder(Deployment.LENTES.template());
    for (int number = 0; number < extraCustomers; number++) {
      configuration
          .append("\n[customer extra-")
          .append(number)
          .append("]\ntemplate = clinic\nrate = 10/s\nburst = 10\nkeys = @{key:extra-")
          .append(number)
          .append("}\n");
    }
    FleetPlan plan =
        FleetPlan.of(Deployment.LENTES).withVms(vms).withConfiguration(configuration.toString());
    try (Fleet fleet = Fleet.start(plan)) {
      Figures.pause(5_000);
      FleetVm vm = fleet.vms().get("vm-1");
      ProcessUsage before = ProcessUsage.of(vm.process().pid());
      double bytes = metric(fleet, vm, "peer_bytes_sent_total");
      double messages = metric(fleet, vm, "peer_messages_sent_total");
      JsonObject calls = fleet.control().platformCalls(fleet.platformAddress());
      Figures.pause(seconds * 1_000);
      ProcessUsage after = ProcessUsage.of(vm.process().pid());
      JsonObject later = fleet.control().platformCalls(fleet.platformAddress());
      return List.of(
          Integer.toString(vms),
          Integer.toString(8 + extraCustomers),
          Figures.decimal(100 * (after.cpuSeconds() - before.cpuSeconds()) / seconds),
          Figures.decimal(after.residentMebibytes()),
          Figures.decimal((metric(fleet, vm, "peer_bytes_sent_total") - bytes) / seconds),
          Figures.decimal((metric(fleet, vm, "peer_messages_sent_total") - messages) / seconds),
          Figures.decimal((later.getLong("calls") - calls.getLong("calls")) / (double) seconds),
          Long.toString(configurationDelay(fleet)));
    }
  }

  /** Returns how long an edit takes until every VM has it in force, in milliseconds. */
  private static long configurationDelay(Fleet fleet) throws IOException {
    fleet.runOperatorCommand("customer", "set", "bench-1", "--burst", "41");
    long editedAt = System.nanoTime();
    List<FleetVm> waiting = new ArrayList<>(fleet.vms().values());
    long revision = highestRevision(fleet, waiting);
    Fleet.waitFor(
        () -> waiting.stream().allMatch(vm -> revisionOf(fleet, vm) >= revision),
        "the revision to be in force");
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - editedAt);
  }

  private static long highestRevision(Fleet fleet, List<FleetVm> vms) {
    return vms.stream().mapToLong(vm -> revisionOf(fleet, vm)).max().orElse(0);
  }

  private static long revisionOf(Fleet fleet, FleetVm vm) {
    try {
      return fleet.control().status(vm.adminAddress()).getLong("configurationRevision");
    } catch (IOException e) {
      return -1;
    }
  }

  private static double metric(Fleet fleet, FleetVm vm, String name) throws IOException {
    return fleet
        .control()
        .metrics(vm.adminAddress())
        .lines()
        .filter(line -> line.startsWith(name + " "))
        .mapToDouble(line -> Double.parseDouble(line.substring(name.length() + 1)))
        .findFirst()
        .orElse(0);
  }
}
