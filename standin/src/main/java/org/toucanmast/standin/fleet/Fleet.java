package org.toucanmast.standin.fleet;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.apache.commons.text.StringSubstitutor;
import org.toucanmast.cli.Main;
import org.toucanmast.core.configuration.FleetConfiguration;
import org.toucanmast.standin.ToolMain;

/**
 * A fleet on the local host: the platform stand-in, database group stand-ins and entry VMs, each in
 * its own process.
 *
 * <p>Example: {@code try (Fleet fleet = Fleet.start(FleetPlan.of(Deployment.LENTES))) { ... }}.
 * Closing kills all processes and deletes their files.
 */
public final class Fleet implements AutoCloseable {
  private static final long WAIT_TIMEOUT_IN_SECONDS = 60;
  private static final long POLL_INTERVAL_IN_MILLISECONDS = 20;
  private static final Pattern ENDPOINT_PLACEHOLDER =
      Pattern.compile("@\\{address:(([^}]+)-[0-9]+)}");
  private static final Pattern KEY_PLACEHOLDER = Pattern.compile("@\\{key:([^}]+)}");

  /** Replaces the addresses of a fleet, for example by those of proxies that inject faults. */
  public interface AddressRewriter {
    /** Keeps all addresses. */
    AddressRewriter NONE = (name, address) -> address;

    /**
     * Returns the address to which clients of the named listener connect.
     *
     * @param name the name of an endpoint; {@code platform/VM} for the platform as that VM reaches
     *     it; {@code peer/VM} for that VM as its peers reach it
     * @param address the address on which the endpoint, the platform or the VM listens
     */
    String rewrite(String name, String address);
  }

  private final FleetPlan plan;
  private final AddressRewriter addressRewriter;
  private final Path directory;
  private final ControlClient control = new ControlClient();
  private final Map<String, String> endpointAddresses = new LinkedHashMap<>();
  private final Map<String, String> databaseControls = new LinkedHashMap<>();
  private final Map<String, FleetProcess> databases = new LinkedHashMap<>();
  private final Map<String, FleetVm> vms = new TreeMap<>();
  private final FleetCertificates certificates;
  private String platformAddress;
  private volatile boolean closed;
  private FleetProcess platform;

  private Fleet(FleetPlan plan, AddressRewriter addressRewriter) throws IOException {
    this.plan = plan;
    this.addressRewriter = addressRewriter;
    this.directory = Files.createTempDirectory("toucanmast-fleet");
    this.certificates = FleetCertificates.create(directory);
  }

  /**
   * Starts all processes, applies the configuration and waits until all VMs are ready.
   *
   * @throws IOException if a process cannot be started or the VMs are not ready after 60 s
   */
  public static Fleet start(FleetPlan plan) throws IOException {
    return start(plan, AddressRewriter.NONE);
  }

  /** Starts a fleet whose VMs connect to the addresses that the rewriter returns. */
  public static Fleet start(FleetPlan plan, AddressRewriter addressRewriter) throws IOException {
    Fleet fleet = new Fleet(plan, addressRewriter);
    try {
      fleet.startPlatform();
      fleet.startDatabaseGroups();
      fleet.applyConfiguration(plan.configuration());
      fleet.startVms();
      fleet.awaitReady();
      return fleet;
    } catch (IOException | RuntimeException e) {
      fleet.close();
      throw e;
    }
  }

  /** Returns the access key of a customer of the sample deployments. */
  public static String keyOf(String customer) {
    return "demonstration-key-of-" + customer;
  }

  private void startPlatform() throws IOException {
    platformAddress = PortAllocator.allocate(1).get(0);
    platform =
        FleetProcess.start(
            directory,
            "platform",
            FleetProcess.STANDIN_OPTIONS,
            ToolMain.class,
            List.of(
                "platform-standin",
                "--address",
                platformAddress,
                "--list-lag",
                Long.toString(plan.listLag().toMillis())));
  }

  private void startDatabaseGroups() throws IOException {
    Map<String, List<String>> groups = new LinkedHashMap<>();
    Matcher matcher = ENDPOINT_PLACEHOLDER.matcher(plan.configuration());
    while (matcher.find()) {
      groups.computeIfAbsent(matcher.group(2), name -> new ArrayList<>()).add(matcher.group(1));
    }
    for (Map.Entry<String, List<String>> group : groups.entrySet()) {
      startDatabaseGroup(group.getKey(), group.getValue());
    }
  }

  private void startDatabaseGroup(String name, List<String> endpoints) throws IOException {
    List<String> addresses = PortAllocator.allocate(endpoints.size() + 1);
    String controlAddress = addresses.get(endpoints.size());
    List<String> arguments = new ArrayList<>();
    arguments.addAll(List.of("database-standin", "--control", controlAddress));
    for (int index = 0; index < endpoints.size(); index++) {
      endpointAddresses.put(endpoints.get(index), addresses.get(index));
      arguments.addAll(List.of("--endpoint", endpoints.get(index) + "=" + addresses.get(index)));
    }
    arguments.addAll(
        List.of(
            "--slots", Integer.toString(plan.endpointSettings().slots()),
            "--connections", Integer.toString(plan.endpointSettings().connections()),
            "--connect-time", Long.toString(plan.endpointSettings().connectMilliseconds()),
            "--service-time", Long.toString(plan.endpointSettings().serviceMicroseconds()),
            "--lag", Long.toString(plan.endpointSettings().lagMilliseconds())));
    databaseControls.put(name, controlAddress);
    databases.put(
        name,
        FleetProcess.start(
            directory,
            "database-" + name,
            FleetProcess.STANDIN_OPTIONS,
            ToolMain.class,
            arguments));
  }

  private void startVms() throws IOException {
    for (int index = 1; index <= plan.vms(); index++) {
      String name = "vm-" + index;
      List<String> dataCentres = plan.deployment().dataCentres();
      startVm(name, dataCentres.get((index - 1) % dataCentres.size()));
    }
    updateVmList();
  }

  /** Starts a VM. The platform lists it only after the next {@link #updateVmList}. */
  public FleetVm startVm(String name, String dataCentre) throws IOException {
    List<String> addresses = PortAllocator.allocate(3);
    certificates.issue(name);
    Path settings = directory.resolve(name + ".ini");
    Files.writeString(settings, settingsFile(name, dataCentre, addresses));
    FleetProcess process =
        FleetProcess.start(
            directory,
            name,
            FleetProcess.VM_OPTIONS,
            Main.class,
            List.of("proxy", "--settings", settings.toString()));
    FleetVm vm =
        new FleetVm(
            name,
            dataCentre,
            addresses.get(0),
            addresses.get(1),
            addressRewriter.rewrite("peer/" + name, addresses.get(2)),
            process);
    vms.put(name, vm);
    return vm;
  }

  private String settingsFile(String name, String dataCentre, List<String> addresses) {
    Map<String, Map<String, String>> sections = new LinkedHashMap<>();
    putSetting(sections, "vm.name", name);
    putSetting(sections, "vm.data-centre", dataCentre);
    putSetting(sections, "callers.address", addresses.get(0));
    putSetting(sections, "callers.admin-address", addresses.get(1));
    putSetting(
        sections, "platform.address", addressRewriter.rewrite("platform/" + name, platformAddress));
    putSetting(sections, "peers.address", addresses.get(2));
    putSetting(sections, "peers.certificate-file", directory.resolve(name + ".pem").toString());
    putSetting(sections, "peers.private-key-file", directory.resolve(name + ".key").toString());
    putSetting(sections, "peers.authority-file", directory.resolve("authority.pem").toString());
    List<String> seeds = vms.values().stream().map(FleetVm::peerAddress).toList();
    putSetting(sections, "peers.seed-addresses", String.join(", ", seeds));
    plan.settings().forEach((key, value) -> putSetting(sections, key, value));
    StringBuilder text = new StringBuilder();
    sections.forEach(
        (section, values) -> {
          text.append('[').append(section).append("]\n");
          values.forEach((key, value) -> text.append(key).append(" = ").append(value).append('\n'));
          text.append('\n');
        });
    return text.toString();
  }

  private static void putSetting(
      Map<String, Map<String, String>> sections, String key, String value) {
    int dot = key.indexOf('.');
    sections
        .computeIfAbsent(key.substring(0, dot), section -> new LinkedHashMap<>())
        .put(key.substring(dot + 1), value);
  }

  /** Sets the platform's list of VMs to those whose processes run. */
  public void updateVmList() throws IOException {
    JsonArray listed = new JsonArray();
    vms.values().stream()
        .filter(vm -> vm.process().isAlive())
        .forEach(vm -> listed.add(vm.toJson()));
    control.setVms(platformAddress, listed);
  }

  /** Fills the placeholders of a configuration and applies it with the operator's command. */
  public void applyConfiguration(String template) throws IOException {
    Path file = directory.resolve("configuration.ini");
    Files.writeString(file, fillPlaceholders(template));
    waitFor(() -> apply(file), "the configuration to be applied");
  }

  private boolean apply(Path file) {
    return runOperatorCommand("configuration", "apply", file.toString()) == 0;
  }

  /** Returns a configuration with its placeholders replaced by addresses and hashes of keys. */
  public String fillPlaceholders(String template) {
    Map<String, String> values = new LinkedHashMap<>();
    endpointAddresses.forEach(
        (name, address) -> values.put("address:" + name, addressRewriter.rewrite(name, address)));
    Matcher matcher = KEY_PLACEHOLDER.matcher(template);
    while (matcher.find()) {
      String customer = matcher.group(1);
      values.put("key:" + customer, FleetConfiguration.hashOfKey(keyOf(customer)));
    }
    return new StringSubstitutor(values, "@{", "}").replace(template);
  }

  /**
   * Runs an operator's command against the platform, discards its output, returns its exit code.
   */
  public int runOperatorCommand(String... arguments) {
    return runOperatorCommand(new StringWriter(), arguments);
  }

  /**
   * Runs an operator's command against the platform.
   *
   * @param output receives what the command prints
   * @return its exit code
   */
  public int runOperatorCommand(StringWriter output, String... arguments) {
    List<String> commandLine = new ArrayList<>(List.of(arguments));
    commandLine.add("--platform=" + platformAddress);
    PrintWriter writer = new PrintWriter(output, true);
    return Main.commandLine(new Main())
        .setOut(writer)
        .setErr(writer)
        .execute(commandLine.toArray(new String[0]));
  }

  /**
   * Waits until every running VM is ready, knows the primary of every database, owns its share of
   * the allowances and counts every other running VM as live.
   *
   * <p>A VM is ready before its own links are open, and refuses to forward steps until they are. A
   * VM that counts another one as live has received a heartbeat on the link that the other one
   * opened. Liveness is awaited last: by then, the others have forgotten the heartbeats of an
   * earlier process of a VM that was started again.
   *
   * @throws IOException if one of these takes longer than 60 s
   */
  public void awaitReady() throws IOException {
    waitFor(() -> runningVms().allMatch(this::isInitialized), "all VMs to be ready");
    waitFor(() -> runningVms().allMatch(this::countsRunningVmsAsLive), "links between all VMs");
  }

  private Stream<FleetVm> runningVms() {
    return vms.values().stream().filter(vm -> vm.process().isAlive());
  }

  private boolean countsRunningVmsAsLive(FleetVm vm) {
    try {
      JsonObject live = control.status(vm.adminAddress()).getJsonObject("liveVms");
      return runningVms().allMatch(other -> live.containsKey(other.name()));
    } catch (IOException e) {
      return false;
    }
  }

  private boolean isInitialized(FleetVm vm) {
    try {
      return control.isReady(vm.adminAddress())
          && control.status(vm.adminAddress()).getBoolean("ownsShare")
          && control.status(vm.adminAddress()).getJsonObject("databases").stream()
              .noneMatch(database -> database.getValue().toString().contains("\"primary\":\"\""));
    } catch (IOException e) {
      return false;
    }
  }

  /**
   * Polls a condition every 20 ms until it holds.
   *
   * @param what the awaited condition, for the message
   * @throws IOException if the condition does not hold within 60 s
   */
  public static void waitFor(BooleanSupplier condition, String what) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_TIMEOUT_IN_SECONDS);
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - deadline > 0) {
        throw new IOException(new TimeoutException("timed out waiting for " + what));
      }
      try {
        TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_IN_MILLISECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        throw new IOException("interrupted while waiting for " + what, e);
      }
    }
  }

  /** Returns the VMs by name. */
  public Map<String, FleetVm> vms() {
    return vms;
  }

  /** Returns the VMs' addresses for callers. */
  public List<String> callerAddresses() {
    return vms.values().stream().map(FleetVm::callerAddress).toList();
  }

  /** Returns the client for control and admin listeners. */
  public ControlClient control() {
    return control;
  }

  /** Returns the platform's address. */
  public String platformAddress() {
    return platformAddress;
  }

  /** Returns the control addresses of the database groups, by name of the group. */
  public Map<String, String> databaseControls() {
    return databaseControls;
  }

  /** Returns the addresses of the endpoints, by name. */
  public Map<String, String> endpointAddresses() {
    return endpointAddresses;
  }

  /** Returns the directory of settings, certificates and logs. */
  public Path directory() {
    return directory;
  }

  /** Returns whether the fleet was closed. */
  public boolean isClosed() {
    return closed;
  }

  /** Kills all processes and deletes the directory. */
  @Override
  public void close() throws IOException {
    closed = true;
    List<FleetProcess> processes = new ArrayList<>();
    vms.values().forEach(vm -> processes.add(vm.process()));
    processes.addAll(databases.values());
    if (platform != null) {
      processes.add(platform);
    }
    processes.forEach(FleetProcess::kill);
    try (Stream<Path> files = Files.walk(directory)) {
      files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    }
  }
}
