package org.toucanmast.standin.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of a fleet; it can be killed, paused and started again. */
public final class FleetProcess {
  private static final long KILL_TIMEOUT_IN_SECONDS = 10;
  private static final List<String> COMMON_OPTIONS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");

  /** JVM options of entry VMs, which have little memory. */
  static final List<String> VM_OPTIONS = List.of("-Xms24m", "-Xmx96m", "-Xmn12m");

  /** JVM options of stand-ins, which keep complete logs in memory. */
  static final List<String> STANDIN_OPTIONS = List.of("-Xmx320m");

  private final String name;
  private final List<String> command;
  private final File log;
  private Process process;

  private FleetProcess(String name, List<String> command, File log) {
    this.name = name;
    this.command = command;
    this.log = log;
  }

  /**
   * Starts a Java process with the class path of the current process.
   *
   * @param options JVM options, in addition to the common ones
   */
  static FleetProcess start(
      Path directory, String name, List<String> options, Class<?> mainClass, List<String> arguments)
      throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(COMMON_OPTIONS);
    command.addAll(options);
    command.add("-cp");
    command.add(System.getProperty("java.class.path"));
    command.add(mainClass.getName());
    command.addAll(arguments);
    FleetProcess started =
        new FleetProcess(name, command, directory.resolve(name + ".log").toFile());
    started.launch();
    return started;
  }

  /**
   * Runs the command, also again after the process has exited; appends its output to the log.
   *
   * @throws IOException if the process cannot be started
   */
  public void launch() throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /** Returns the name of the process in the fleet. */
  public String name() {
    return name;
  }

  /** Returns the file that receives standard output and standard error of the process. */
  public Path log() {
    return log.toPath();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Kills the process without a shutdown, as a crash does, and waits for its exit. */
  public void kill() {
    process.destroyForcibly();
    awaitExit();
  }

  /** Requests a graceful shutdown of the process without waiting for its exit. */
  public void terminate() {
    process.destroy();
  }

  /** Waits for the exit of the process for up to 30 s; returns its exit code, or -1 on time-out. */
  public int awaitExit() {
    try {
      return process.waitFor(KILL_TIMEOUT_IN_SECONDS * 3, TimeUnit.SECONDS)
          ? process.exitValue()
          : -1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  /** Suspends the process with SIGSTOP, as a long pause of the JVM or the host does. */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Resumes the suspended process with SIGCONT. */
  public void resume() throws IOException {
    signal("CONT");
  }

  private void signal(String signal) throws IOException {
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
