package org.toucanmast.standin.fleet;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One process of a fleet. */
public final class FleetProcess {
  private static final long KILL_TIMEOUT_IN_SECONDS = 10;
  private static final List<String> COMMON_OPTIONS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xss512k");

  /** Options of entry VMs, which have little memory. */
  static final List<String> VM_OPTIONS = List.of("-Xms24m", "-Xmx96m", "-Xmn12m");

  /** Options of stand-ins, which keep whole logs in memory. */
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
   * Starts a Java process with this process's class path.
   *
   * @param options of the Java machine, beside the common ones
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

  /** Starts the same command again, after the process has ended. */
  public void launch() throws IOException {
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  /** Returns the process's name. */
  public String name() {
    return name;
  }

  /** Returns the file that holds what the process printed. */
  public Path log() {
    return log.toPath();
  }

  /** Tells whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Ends the process at once, as a crash does. */
  public void kill() {
    process.destroyForcibly();
    waitForEnd();
  }

  /** Asks the process to stop, and does not wait. */
  public void terminate() {
    process.destroy();
  }

  /** Waits for the end; returns the exit code, or -1 when it did not end in time. */
  public int waitForEnd() {
    try {
      return process.waitFor(KILL_TIMEOUT_IN_SECONDS * 3, TimeUnit.SECONDS)
          ? process.exitValue()
          : -1;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return -1;
    }
  }

  /** Stops the process from running, as a long pause does. */
  public void pause() throws IOException {
    signal("STOP");
  }

  /** Lets the process run again. */
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
