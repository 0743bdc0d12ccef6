package review;

import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The entry VMs of a small deployment, as processes with the commands of the deploy file. */
final class Fleet implements AutoCloseable {
  private static final int LINKS_PORT = 7560;

  /** One entry VM. */
  static final class Vm {
    final String name;
    final String zone;
    final String ip;
    final int front;
    final int ready;
    Process process;
    Path settings;

    private Vm(String name, String zone, String ip, int front, int ready) {
      this.name = name;
      this.zone = zone;
      this.ip = ip;
      this.front = front;
      this.ready = ready;
    }

    boolean isReady() {
      try {
        HttpURLConnection connection =
            (HttpURLConnection) new URL("http://" + ip + ":" + ready + "/ready").openConnection();
        connection.setConnectTimeout(1_000);
        connection.setReadTimeout(1_000);
        return connection.getResponseCode() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Sends SIGTERM. */
    void terminate() {
      process.destroy();
    }
  }

  private final Path root;
  private final Path folder;
  private final Recorder recorder;
  final List<Vm> vms = new ArrayList<>();

  Fleet(Path root, Recorder recorder) throws IOException {
    this.root = root;
    this.recorder = recorder;
    this.folder = Files.createTempDirectory("review");
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  Path log(Vm vm) {
    return folder.resolve(vm.name + ".log");
  }

  /** Adds a VM in a zone; all VMs have the same ports on loopback addresses of their own. */
  void add(String name, String zone, int network, int host) throws IOException {
    String ip = "127." + network + "." + (network / 2 + 1) + "." + host;
    vms.add(new Vm(name, zone, ip, freePort(ip), freePort(ip)));
  }

  /** Returns a number for the second part of the VMs' loopback addresses. */
  static int randomNetwork() {
    return ThreadLocalRandom.current().nextInt(10, 250);
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  void start(String store, String failover) throws IOException {
    String command = command();
    for (Vm vm : vms) {
      vm.settings = folder.resolve(vm.name + ".ini");
      Files.writeString(vm.settings, settings(vm, store, failover));
      ProcessBuilder builder =
          new ProcessBuilder(command.split(" "))
              .directory(root.toFile())
              .redirectErrorStream(true)
              .redirectOutput(log(vm).toFile());
      Map<String, String> inherited = Map.copyOf(builder.environment());
      builder.environment().clear();
      for (String name : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
        if (inherited.containsKey(name)) {
          builder.environment().put(name, inherited.get(name));
        }
      }
      builder.environment().put("TOUCANMAST_CONFIG", vm.settings.toString());
      vm.process = builder.start();
    }
  }

  private String command() throws IOException {
    String file = Files.readString(root.resolve("deploy/system.toml"));
    Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(file);
    if (!run.find()) {
      throw new IOException("no command in the deploy file");
    }
    return run.group(1);
  }

  private String settings(Vm vm, String store, String failover) throws IOException {
    Map<String, String> values =
        Map.ofEntries(
            Map.entry("node_name", vm.name),
            Map.entry("zone", vm.zone),
            Map.entry("limits.cores", "1"),
            Map.entry("limits.cpu_share", "0.75"),
            Map.entry("listen.front", vm.ip + ":" + vm.front),
            Map.entry("listen.ready", vm.ip + ":" + vm.ready),
            Map.entry("port_range.0", String.valueOf(LINKS_PORT)),
            Map.entry("bounds.grace_s", "6"),
            Map.entry("platform.address", store),
            Map.entry("cloud_api.address", failover),
            Map.entry("cloud_api.duties", "failover"),
            Map.entry("bounds.config_apply_ms", "3000"),
            Map.entry("bounds.evacuate_ms", "5000"),
            Map.entry("bounds.drain_ms", "7000"),
            Map.entry("bounds.stable_ms", "4000"));
    Matcher placeholder =
        Pattern.compile("\\{\\{([^}]*)}}")
            .matcher(Files.readString(root.resolve("deploy/vm.ini"), StandardCharsets.UTF_8));
    StringBuilder filled = new StringBuilder();
    while (placeholder.find()) {
      placeholder.appendReplacement(filled, values.getOrDefault(placeholder.group(1), ""));
    }
    placeholder.appendTail(filled);
    return filled.toString();
  }

  /** Waits until all VMs report that they are ready. */
  boolean awaitReady(long seconds) throws InterruptedException {
    double end = Recorder.now() + seconds * 1_000;
    while (Recorder.now() < end) {
      if (vms.stream().allMatch(Vm::isReady)) {
        recorder.say("all %d VMs are ready", vms.size());
        return true;
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() {
    for (Vm vm : vms) {
      if (vm.process != null) {
        vm.process.destroyForcibly();
      }
    }
    for (Vm vm : vms) {
      try {
        if (vm.process != null) {
          vm.process.waitFor(5, TimeUnit.SECONDS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    if (System.getenv("KEEP_LOGS") == null) {
      File[] files = folder.toFile().listFiles();
      for (File file : files == null ? new File[0] : files) {
        file.delete();
      }
      folder.toFile().delete();
    } else if (folder.toFile().exists()) {
      System.out.println("logs in " + folder);
    }
  }
}
