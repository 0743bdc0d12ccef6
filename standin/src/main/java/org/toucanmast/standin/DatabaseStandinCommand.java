package org.toucanmast.standin;

import io.vertx.core.Vertx;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.Callable;
import org.toucanmast.standin.database.DatabaseStandin;
import org.toucanmast.standin.database.EndpointSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Serves a stand-in for a database group. */
@Command(
    name = "database-standin",
    mixinStandardHelpOptions = true,
    description = "Serve a stand-in for a database group until the process ends.")
final class DatabaseStandinCommand implements Callable<Integer> {
  @Option(names = "--control", required = true)
  private String control;

  @Option(names = "--endpoint", required = true, paramLabel = "NAME=ADDRESS")
  private Map<String, String> endpoints = new LinkedHashMap<>();

  @Option(names = "--slots", defaultValue = "3")
  private int slots;

  @Option(names = "--connections", defaultValue = "20")
  private int connections;

  @Option(names = "--connect-time", defaultValue = "10", description = "In milliseconds.")
  private long connectTime;

  @Option(names = "--service-time", defaultValue = "500", description = "In microseconds.")
  private long serviceTime;

  @Option(names = "--lag", defaultValue = "5", description = "In milliseconds.")
  private long lag;

  @Override
  public Integer call() {
    EndpointSettings settings =
        new EndpointSettings(slots, connections, connectTime, serviceTime, lag);
    Vertx.vertx()
        .deployVerticle(new DatabaseStandin(control, endpoints, settings))
        .toCompletionStage()
        .toCompletableFuture()
        .join();
    return ToolMain.SERVING;
  }
}
