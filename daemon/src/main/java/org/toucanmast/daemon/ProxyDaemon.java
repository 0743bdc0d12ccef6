package org.toucanmast.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.SettingsFile;
import org.toucanmast.runtime.vm.EntryVm;
import org.toucanmast.runtime.vm.StartException;

/** Runs one entry VM until the process is told to stop. */
public final class ProxyDaemon {
  /** The exit code of a planned stop in which every request ended. */
  public static final int STOPPED = 0;

  /** The exit code of a VM that could not start, or whose stop cut a request. */
  public static final int FAILED = 1;

  private static final Logger log = System.getLogger(ProxyDaemon.class.getName());

  private ProxyDaemon() {}

  /**
   * Runs a VM; returns only when it cannot start.
   *
   * @return the exit code
   * @throws InvalidTextException when the settings are wrong
   */
  public static int run(Path settingsFile) throws InvalidTextException {
    try {
      EntryVm vm = EntryVm.start(SettingsFile.read(settingsFile));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(vm), "shutdown"));
      new CountDownLatch(1).await();
      return STOPPED;
    } catch (StartException e) {
      log.log(Level.ERROR, e.getMessage());
      return FAILED;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return FAILED;
    }
  }

  /** Stops the VM and ends the process with a code that says whether anything was cut. */
  private static void stop(EntryVm vm) {
    boolean drained = vm.stop();
    Runtime.getRuntime().halt(drained ? STOPPED : FAILED);
  }
}
