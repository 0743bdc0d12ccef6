package org.toucanmast.daemon;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.runtime.ini.SettingsFile;
import org.toucanmast.runtime.vm.EntryVm;
import org.toucanmast.runtime.vm.StartException;
import org.toucanmast.schema.Settings;

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
    Settings settings = SettingsFile.read(settingsFile);
    CompletableFuture<EntryVm> start = new CompletableFuture<>();
    long timeout = settings.getShutdown().getDeadline();
    Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(start, timeout), "shutdown"));
    try {
      start.complete(EntryVm.start(settings));
      new CountDownLatch(1).await();
      return STOPPED;
    } catch (StartException e) {
      start.completeExceptionally(e);
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
   *
   * <p>A VM that still starts is shut down when it has started, because its listener for callers is
   * open before. A VM that could not start has nothing to shut down.
   *
   * @param timeout how long to wait for the start, in nanoseconds
   */
  private static void stop(CompletableFuture<EntryVm> start, long timeout) {
    try {
      boolean drained = start.get(timeout, TimeUnit.NANOSECONDS).stop();
      Runtime.getRuntime().halt(drained ? STOPPED : FAILED);
    } catch (ExecutionException e) {
      log.log(Level.DEBUG, "the VM has not started, there is nothing to stop", e);
    } catch (TimeoutException e) {
      log.log(Level.WARNING, "the VM did not start in time to be stopped");
      Runtime.getRuntime().halt(FAILED);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
