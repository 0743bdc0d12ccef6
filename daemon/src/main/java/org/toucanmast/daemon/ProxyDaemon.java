package org.toucanmast.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.SettingsFile;
import org.toucanmast.runtime.vm.EntryVm;
import org.toucanmast.runtime.vm.StartException;

/** Runs one entry VM until the process receives a termination signal. */
public final class ProxyDaemon {
  /** Exit code of a shutdown in which all requests and transactions ended before the deadline. */
  public static final int STOPPED = 0;

  /**
   * Exit code of a VM that could not start, or whose shutdown interrupted a request or transaction.
   */
  public static final int FAILED = 1;

  private static final Logger log = System.getLogger(ProxyDaemon.class.getName());

  private ProxyDaemon() {}

  /**
   * Starts a VM and blocks until the process ends; returns only when the VM cannot start or the
   * thread is interrupted.
   *
   * @return the exit code
   * @throws InvalidTextException when the settings are invalid
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

  /**
   * Shuts the VM down and halts the process, with {@link #FAILED} if requests or transactions were
   * still open at the deadline. Halts because {@link Runtime#exit} blocks within a shutdown hook.
   */
  private static void stop(EntryVm vm) {
    boolean drained = vm.stop();
    Runtime.getRuntime().halt(drained ? STOPPED : FAILED);
  }
}
