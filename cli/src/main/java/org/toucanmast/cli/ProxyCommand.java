package org.toucanmast.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.daemon.ProxyDaemon;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The {@code proxy} command: runs an entry VM. */
@Command(
    name = "proxy",
    mixinStandardHelpOptions = true,
    description = "Run an entry VM until SIGTERM.")
final class ProxyCommand implements Callable<Integer> {
  @Option(
      names = "--settings",
      required = true,
      paramLabel = "FILE",
      description = "The INI settings file of this VM.")
  private Path settings;

  @Override
  public Integer call() throws InvalidTextException {
    return ProxyDaemon.run(settings);
  }
}
