package org.toucanmast.standin.start;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the platform's jar, with a session of one caller. */
final class MeasuredVm implements AutoCloseable {
  private static final String LOOPBACK = "127.0.0.1";
  private static final long RETRY_DELAY_IN_MILLISECONDS = 5;
  private static final int ANSWER_TIMEOUT_IN_MILLISECONDS = 15_000;
  private static final Duration START_TIMEOUT = Duration.ofSeconds(30);
  private static final List<String> STATEMENTS =
      List.of(
          "READ x",
          "WRITE x y",
          "EXECUTE prepared x",
          "BEGIN",
          "READ x",
          "WRITE x y",
          "COMMIT",
          "READ x");

  private final String name;
  private final int callerPort = freePort();
  private final int healthPort = freePort();
  private final int metricsPort = freePort();
  private final int linkPort = freePort();
  private final long startedAt;
  private final Process process;
  private final Path settings;
  private Socket socket;
  private BufferedReader answers;

  /**
   * Processor time and elapsed time since the start of a process.
   *
   * @param processorMilliseconds user and system time of the process
   * @param elapsedMilliseconds the time since the process was started
   * @param peakMebibytes the highest resident memory until now
   */
  record Reading(double processorMilliseconds, double elapsedMilliseconds, double peakMebibytes) {}

  /**
   * Starts the process.
   *
   * @param root the directory in which the command runs
   * @param command the command line of the process
   */
  MeasuredVm(String name, Path root, List<String> command, int storePort) throws IOException {
    this.name = name;
    this.settings = Files.createTempFile("toucanmast-start", ".ini");
    Files.writeString(settings, settingsText(storePort));
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .directory(root.toFile())
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .redirectError(ProcessBuilder.Redirect.INHERIT);
    builder.environment().put("TOUCANMAST_CONFIG", settings.toString());
    startedAt = System.nanoTime();
    process = builder.start();
  }

  private static int freePort() throws IOException {
    try (ServerSocket probe = new ServerSocket(0)) {
      return probe.getLocalPort();
    }
  }

  private String settingsText(int storePort) {
    return """
        vm.name = %s
        vm.data-centre = measure
        vm.processors = 1
        vm.processor-share = 0.36
        vm.callers = 127.0.0.1:%d
        vm.health = 127.0.0.1:%d
        vm.metrics-port = %d
        vm.links-port = %d
        vm.grace-seconds = 1
        platform.store = 127.0.0.1:%d
        platform.promotions = 127.0.0.1:%d
        scheduling.in-force = pool,health
        """
        .formatted(name, callerPort, healthPort, metricsPort, linkPort, storePort, storePort);
  }

  /** Opens a session, as often as needed until the VM accepts it. */
  void awaitSession() throws IOException, InterruptedException {
    while (!openSession()) {
      if (!process.isAlive() || System.nanoTime() - startedAt > START_TIMEOUT.toNanos()) {
        throw new IOException("the VM " + name + " accepts no session");
      }
      TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_IN_MILLISECONDS);
    }
  }

  private boolean openSession() {
    try {
      socket = new Socket();
      socket.connect(new InetSocketAddress(LOOPBACK, callerPort));
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(ANSWER_TIMEOUT_IN_MILLISECONDS);
      answers =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      return send("START db key") && send("QUERY p PREPARE prepared READ q");
    } catch (IOException e) {
      return false;
    }
  }

  /** Sends a line; returns whether the answer to it reports success. */
  private boolean send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.US_ASCII));
    boolean succeeded = true;
    String answer = answers.readLine();
    while (answer != null && !answer.startsWith("READY")) {
      succeeded &= !answer.startsWith("ERROR");
      answer = answers.readLine();
    }
    return answer != null && succeeded;
  }

  /** Sends statements of all kinds, one after another; returns the number of those that failed. */
  int runStatements(int count) throws IOException {
    int failed = 0;
    for (int number = 0; number < count; number++) {
      String statement = STATEMENTS.get(number % STATEMENTS.size());
      failed += send("QUERY " + number + " " + statement) ? 0 : 1;
    }
    return failed;
  }

  /** Reads the processor time and the memory that the process has used until now. */
  Reading reading() throws IOException {
    double elapsed = (System.nanoTime() - startedAt) / (double) TimeUnit.MILLISECONDS.toNanos(1);
    double processor =
        process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos()
            / (double) TimeUnit.MILLISECONDS.toNanos(1);
    double peak =
        Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
            .filter(line -> line.startsWith("VmHWM:"))
            .mapToDouble(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")))
            .findFirst()
            .orElse(0);
    return new Reading(processor, elapsed, peak / 1_024);
  }

  /** Kills the process, as a loss of power would. */
  @Override
  public void close() throws IOException {
    process.destroyForcibly();
    process.onExit().join();
    Files.delete(settings);
  }
}
