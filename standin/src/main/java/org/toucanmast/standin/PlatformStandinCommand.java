package org.toucanmast.standin;

import io.vertx.core.Vertx;
import java.util.concurrent.Callable;
import org.toucanmast.standin.platform.PlatformStandin;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Serves a stand-in for the platform. */
@Command(
    name = "platform-standin",
    mixinStandardHelpOptions = true,
    description = "Serve a stand-in for the platform until the process ends.")
final class PlatformStandinCommand implements Callable<Integer> {
  @Option(names = "--address", required = true)
  private String address;

  @Option(names = "--list-lag", defaultValue = "2000", description = "In milliseconds.")
  private long listLag;

  @Override
  public Integer call() {
    Vertx.vertx()
        .deployVerticle(new PlatformStandin(address, listLag))
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    return ToolMain.SERVING;
  }
}
