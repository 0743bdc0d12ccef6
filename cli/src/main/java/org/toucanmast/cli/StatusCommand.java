package org.toucanmast.cli;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The {@code status} command: shows one VM's view of the fleet. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Show a VM's view of live VMs, primaries and customers.")
final class StatusCommand implements Callable<Integer> {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(5);

  @Spec private CommandSpec spec;

  @Option(
      names = "--vm",
      required = true,
      paramLabel = "ADDRESS",
      description = "The VM's admin address.")
  private String address;

  @Option(names = "--output", defaultValue = "table")
  private OutputFormat output;

  @Override
  public Integer call() throws CommandException {
    JsonObject status = fetch();
    if (output == OutputFormat.JSON) {
      spec.commandLine().getOut().println(status.encodePrettily());
      return ExitCodes.OK;
    }
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of("VM", status.getString("vm"), status.getBoolean("ready") ? "ready" : "not"));
    rows.add(
        List.of(
            "configuration",
            "revision " + status.getLong("configurationRevision"),
            "epoch " + status.getLong("adoptedEpoch")));
    status
        .getJsonObject("liveVms")
        .forEach(vm -> rows.add(List.of("live VM", vm.getKey(), String.valueOf(vm.getValue()))));
    status
        .getJsonObject("databases")
        .forEach(entry -> rows.add(databaseRow(entry.getKey(), (JsonObject) entry.getValue())));
    status
        .getJsonArray("customers")
        .forEach(name -> rows.add(List.of("customer", String.valueOf(name), "")));
    spec.commandLine().getOut().print(output.render(List.of("what", "name", "state"), rows));
    return ExitCodes.OK;
  }

  private static List<String> databaseRow(String name, JsonObject database) {
    return List.of(
        "database",
        name,
        "primary " + database.getString("primary") + ", term " + database.getLong("term"));
  }

  private JsonObject fetch() throws CommandException {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://" + address + "/status"))
              .timeout(REQUEST_TIMEOUT)
              .build();
      HttpResponse<String> response =
          HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
      return new JsonObject(response.body());
    } catch (IOException | DecodeException e) {
      throw new CommandException(
          ExitCodes.FAILED, "cannot read the status of VM " + address + ": " + e.getMessage());
    } catch (IllegalArgumentException e) {
      throw new CommandException(
          ExitCodes.INVALID, "--vm: '" + address + "' is not a valid address");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitCodes.FAILED, "interrupted");
    }
  }
}
