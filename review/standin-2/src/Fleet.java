import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.InetAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Entry VMs, each started as a process with the command and the template of the deploy folder. */
final class Fleet {
  /** One machine. */
  static final class Vm {
    final String name;
    final String zone;
    final String ip;
    final Path settings;
    final Path log;
    int callerPort;
    int readyPort;
    Process process;

    Vm(String name, String zone, String ip, Path folder) {
      this.name = name;
      this.zone = zone;
      this.ip = ip;
      this.settings = folder.resolve(name + ".ini");
      this.log = folder.resolve(name + ".log");
    }

    boolean isReady() {
      try {
        HttpURLConnection probe =
            (HttpURLConnection) new URL("http://" + ip + ":" + readyPort + "/ready").openConnection();
        probe.setConnectTimeout(500);
        probe.setReadTimeout(500);
        return probe.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }
  }

  final List<Vm> vms = new ArrayList<>();
  private final Path root;
  private final Path folder;
  private final String subnet;
  private final String storeAddress;
  private final Map<String, String> bounds;

  /**
   * Creates a fleet without machines.
   *
   * @param root the root of the repository
   * @param folder where settings and logs go
   * @param subnet the first three bytes of the machines' loopback addresses, whose ports are free
   */
  Fleet(Path root, Path folder, String subnet, String storeAddress, Map<String, String> bounds) {
    this.root = root;
    this.folder = folder;
    this.subnet = subnet;
    this.storeAddress = storeAddress;
    this.bounds = bounds;
    Runtime.getRuntime().addShutdownHook(new Thread(this::kill));
  }

  private void kill() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
  }

  /** Returns three bytes of loopback addresses that no other run is likely to use. */
  static String freeSubnet() {
    return "127." + (20 + ProcessHandle.current().pid() / 200 % 200) + "."
        + (1 + ProcessHandle.current().pid() % 200);
  }

  /** Starts a machine; does not wait until it is ready. */
  Vm start(String name, String zone) throws IOException {
    Vm vm = new Vm(name, zone, subnet + "." + (10 + vms.size()), folder);
    vm.callerPort = freePort(vm.ip);
    vm.readyPort = freePort(vm.ip);
    vms.add(vm);
    startProcess(vm);
    return vm;
  }

  void startProcess(Vm vm) throws IOException {
    Map<String, String> values = new HashMap<>(bounds);
    values.put("node_name", vm.name);
    values.put("zone", vm.zone);
    values.put("limits.cores", "1");
    values.put("limits.cpu_share", "0.75");
    values.put("listen.front", vm.ip + ":" + vm.callerPort);
    values.put("listen.ready", vm.ip + ":" + vm.readyPort);
    values.put("port_range.0", String.valueOf(freePort(vm.ip)));
    values.put("platform.address", storeAddress);
    values.put("cloud_api.address", storeAddress);
    values.put("cloud_api.duties", "failover");
    String template = Files.readString(root.resolve("deploy/vm.ini"));
    Files.writeString(vm.settings, filled(template, values));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.directory(root.toFile());
    builder.environment().put("TOUCANMAST_CONFIG", vm.settings.toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(ProcessBuilder.Redirect.appendTo(vm.log.toFile()));
    vm.process = builder.start();
  }

  private static String filled(String template, Map<String, String> values) {
    Matcher matcher = Pattern.compile("\\{\\{([^}]+)\\}\\}").matcher(template);
    return matcher.replaceAll(
        found -> Matcher.quoteReplacement(values.getOrDefault(found.group(1), "")));
  }

  private String[] command() throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return line.substring("run = \"".length(), line.length() - 1).split(" ");
      }
    }
    throw new IOException("no command in deploy/system.toml");
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** Waits until all machines are ready; returns whether they are. */
  boolean awaitReady(long timeoutMs) throws InterruptedException {
    long end = System.currentTimeMillis() + timeoutMs;
    while (System.currentTimeMillis() < end) {
      if (vms.stream().allMatch(Vm::isReady)) {
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  /** Sends a signal to a machine's process. */
  static void signal(Vm vm, String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, String.valueOf(vm.process.pid())).start().waitFor();
  }

  void stop() {
    kill();
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.onExit().join();
      }
    }
  }
}
