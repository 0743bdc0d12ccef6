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

/** Measures the control-plane overhead of an idle VM as the numbers of VMs and customers grow. */
final class IdleOverheadMeasurement {
  private final long seconds;

  IdleOverheadMeasurement(long seconds) {
    this.seconds = seconds;
  }

  /**
   * Measures a fleet without load.
   *
   * @param extraCustomers the number of customers in addition to the eight of the deployment
   * @return a row of: VMs, customers, CPU use of a VM in percent of a core, its resident memory in
   *     MiB, bytes and messages per second that it sends to peers, platform calls per second of all
   *     VMs, configuration delay in milliseconds
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
      MeasurementUtils.pause(5_000);
      FleetVm vm = fleet.vms().get("vm-1");
      ProcessUsage usageBefore = ProcessUsage.of(vm.process().pid());
      double bytesBefore = readMetric(fleet, vm, "peer_bytes_sent_total");
      double messagesBefore = readMetric(fleet, vm, "peer_messages_sent_total");
      JsonObject callsBefore = fleet.control().platformCalls(fleet.platformAddress());
      MeasurementUtils.pause(seconds * 1_000);
      ProcessUsage usageAfter = ProcessUsage.of(vm.process().pid());
      JsonObject callsAfter = fleet.control().platformCalls(fleet.platformAddress());
      return List.of(
          Integer.toString(vms),
          Integer.toString(8 + extraCustomers),
          MeasurementUtils.decimal(
              100 * (usageAfter.cpuSeconds() - usageBefore.cpuSeconds()) / seconds),
          MeasurementUtils.decimal(usageAfter.residentMebibytes()),
          MeasurementUtils.decimal(
              (readMetric(fleet, vm, "peer_bytes_sent_total") - bytesBefore) / seconds),
          MeasurementUtils.decimal(
              (readMetric(fleet, vm, "peer_messages_sent_total") - messagesBefore) / seconds),
          MeasurementUtils.decimal(
              (callsAfter.getLong("calls") - callsBefore.getLong("calls")) / (double) seconds),
          Long.toString(configurationDelay(fleet)));
    }
  }

  /**
   * Returns the time until an edit of the configuration is in force at every VM, in milliseconds.
   */
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

  private static double readMetric(Fleet fleet, FleetVm vm, String name) throws IOException {
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
