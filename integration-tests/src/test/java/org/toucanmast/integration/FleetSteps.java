package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.fleet.Deployment;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetPlan;
import org.toucanmast.standin.fleet.FleetVm;
import org.toucanmast.standin.fleet.SampleLoad;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadReport;
import org.toucanmast.standin.load.LoadScenario;
import org.toucanmast.standin.platform.PlatformFault;

/** The small language of the scenarios. */
public final class FleetSteps {
  private static final long SEED = 20261204;
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  private FleetPlan plan;
  private Links links;
  private Fleet fleet;
  private BackgroundLoad load;
  private final Map<String, Map<String, String>> overrides = new HashMap<>();
  private final Map<String, String> primaries = new HashMap<>();
  private long loadStartedAt;
  private long markedAt;
  private long callsBefore;
  private int exitCode;

  /** Ends every process of the scenario. */
  @After
  public void close() throws IOException {
    if (fleet != null) {
      fleet.close();
    }
    if (links != null) {
      links.close();
    }
  }

  @Given("the {word} deployment with {int} VMs")
  public void deployment(String name, int vms) {
    plan = FleetPlan.of(Deployment.valueOf(name.toUpperCase(Locale.ROOT))).withVms(vms);
  }

  @Given("replicas follow {int} ms late")
  public void lag(int milliseconds) {
    plan = plan.withEndpointSettings(plan.endpointSettings().withLag(milliseconds));
  }

  @Given("endpoints take {int} ms for a request")
  public void serviceTime(int milliseconds) {
    long microseconds = TimeUnit.MILLISECONDS.toMicros(milliseconds);
    plan = plan.withEndpointSettings(plan.endpointSettings().withServiceTime(microseconds));
  }

  @Given("writes are acknowledged by {word}")
  public void acknowledge(String rule) {
    plan =
        plan.withConfiguration(
            plan.configuration().replace("acknowledge = position", "acknowledge = " + rule));
  }

  @Given("the platform's list of VMs is {int} ms late")
  public void listLag(int milliseconds) {
    plan = plan.withListLag(Duration.ofMillis(milliseconds));
  }

  @Given("the setting {word} is {word}")
  public void setting(String key, String value) {
    plan = plan.withSetting(key, value);
  }

  @Given("the fleet runs")
  public void start() throws IOException {
    fleet = Fleet.start(plan);
    rememberPrimaries();
  }

  @Given("the fleet runs behind fault-injecting proxies")
  public void startBehindLinks() throws IOException {
    links = new Links();
    fleet = Fleet.start(plan, links);
    rememberPrimaries();
  }

  private void rememberPrimaries() throws IOException {
    for (String database : fleet.databaseControls().keySet()) {
      primaries.put(database, primaryOf(database));
    }
  }

  @Given("customer {word} sends {word} by {word}")
  public void override(String customer, String value, String key) {
    overrides.computeIfAbsent(customer, name -> new HashMap<>()).put(key, value);
  }

  @When("load runs for {int} s at {int} percent of the rates")
  public void startLoad(int seconds, int percent) throws InvalidTextException {
    String configuration = fleet.fillPlaceholders(plan.configuration());
    LoadScenario scenario =
        SampleLoad.of(configuration, percent / 100.0, seconds + "s", SEED, overrides);
    load = new BackgroundLoad(fleet, scenario);
    loadStartedAt = System.nanoTime();
    load.start();
  }

  @When("{int} ms pass")
  public void pass(int milliseconds) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(milliseconds);
  }

  private String primaryOf(String database) throws IOException {
    String found = "";
    long highest = -1;
    for (Object each : fleet.control().endpoints(fleet.databaseControls().get(database))) {
      JsonObject endpoint = (JsonObject) each;
      JsonObject status = endpoint.getJsonObject("status");
      if (status.getString("role").equals("primary") && status.getLong("term") > highest) {
        highest = status.getLong("term");
        found = endpoint.getString("name");
      }
    }
    return found;
  }

  private void order(String database, String endpoint, JsonObject order) throws IOException {
    fleet.control().setEndpoint(fleet.databaseControls().get(database), endpoint, order);
  }

  @When("the primary of {word} {word}")
  public void primaryFails(String database, String fault) throws IOException {
    order(database, primaries.get(database), faultOf(fault));
  }

  @When("the first primary of {word} is well again")
  public void primaryRecovers(String database) throws IOException {
    order(database, primaries.get(database), new JsonObject());
  }

  @When("the replicas of {word} {word}")
  public void replicasFail(String database, String fault) throws IOException {
    for (Object each : fleet.control().endpoints(fleet.databaseControls().get(database))) {
      String name = ((JsonObject) each).getString("name");
      if (!name.equals(primaries.get(database))) {
        order(database, name, faultOf(fault));
      }
    }
  }

  private static JsonObject faultOf(String word) {
    return switch (word) {
      case "crashes" -> new JsonObject().put("crashed", true);
      case "freezes" -> new JsonObject().put("frozen", true);
      case "loses-answers" -> new JsonObject().put("loseAnswers", true);
      case "lose-promotion-answers" -> new JsonObject().put("losePromotionAnswers", true);
      case "recover" -> new JsonObject();
      default -> throw new IllegalArgumentException("no such fault: " + word);
    };
  }

  @When("the primary of {word} is cut from its group and from VMs {word}")
  public void primaryIsolated(String database, String vms) throws IOException {
    JsonArray blocked = new JsonArray(List.of(vms.split(",")));
    order(
        database,
        primaries.get(database),
        new JsonObject().put("cutFromGroup", true).put("blockedVms", blocked));
  }

  @When("the primary of {word} does not hear {word}")
  public void blockVm(String database, String vm) throws IOException {
    order(
        database,
        primaries.get(database),
        new JsonObject().put("blockedVms", new JsonArray().add(vm)));
  }

  @When("the platform is {word}")
  public void platformFault(String word) throws IOException {
    String name = word.toUpperCase(Locale.ROOT).replace('-', '_');
    PlatformFault fault = name.equals("WELL") ? PlatformFault.NONE : PlatformFault.valueOf(name);
    fleet.control().setFault(fleet.platformAddress(), fault, 1_500);
  }

  @When("VM {word} is killed")
  public void kill(String vm) {
    fleet.vms().get(vm).process().kill();
  }

  @When("VM {word} starts again")
  public void restart(String vm) throws IOException {
    fleet.vms().get(vm).process().launch();
  }

  @When("the platform lists the VMs that run")
  public void listVms() throws IOException {
    fleet.updateVmList();
  }

  @When("VM {word} is paused for {int} ms")
  public void pause(String vm, int milliseconds) throws IOException, InterruptedException {
    fleet.vms().get(vm).process().pause();
    TimeUnit.MILLISECONDS.sleep(milliseconds);
    fleet.vms().get(vm).process().resume();
  }

  @When("VM {word} is terminated")
  public void terminate(String vm) {
    fleet.vms().get(vm).process().terminate();
    exitCode = fleet.vms().get(vm).process().awaitExit();
  }

  @Then("its exit code is {int}")
  public void checkExitCode(int expected) {
    assertThat(exitCode).isEqualTo(expected);
  }

  @When("every VM is restarted in turn")
  public void rollingRestart() throws IOException {
    for (FleetVm vm : List.copyOf(fleet.vms().values())) {
      vm.process().terminate();
      assertThat(vm.process().awaitExit()).as("exit code of " + vm.name()).isZero();
      vm.process().launch();
      Fleet.waitFor(
          () -> fleet.control().isReady(vm.adminAddress()),
          "VM " + vm.name() + " to be ready again");
    }
  }

  @When("link {word} is frozen")
  public void freezeLink(String name) {
    links.freeze(name);
  }

  @When("link {word} works again")
  public void unfreezeLink(String name) {
    links.unfreeze(name);
  }

  @When("link {word} is reset")
  public void resetLink(String name) {
    links.reset(name);
  }

  @When("an operator runs: {}")
  public void operate(String command) {
    assertThat(fleet.runOperatorCommand(command.split(" "))).as("exit code of " + command).isZero();
  }

  @When("endpoint calls in data centre {word} are counted after {int} ms")
  public void countCalls(String dataCentre, int milliseconds)
      throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(milliseconds);
    callsBefore = callsIn(dataCentre);
  }

  @Then("no further call reached data centre {word}")
  public void noFurtherCall(String dataCentre) throws IOException {
    assertThat(callsIn(dataCentre)).isEqualTo(callsBefore);
  }

  @Then("VM {word} gets no callers")
  public void notReady(String vm) {
    assertThat(fleet.control().isReady(fleet.vms().get(vm).adminAddress())).isFalse();
  }

  @Then("VM {word} gets callers")
  public void ready(String vm) throws IOException {
    Fleet.waitFor(
        () -> fleet.control().isReady(fleet.vms().get(vm).adminAddress()), vm + " to be ready");
  }

  @Then("further calls reached data centre {word}")
  public void furtherCalls(String dataCentre) throws IOException {
    assertThat(callsIn(dataCentre)).isGreaterThan(callsBefore);
  }

  private long callsIn(String dataCentre) throws IOException {
    List<String> there = new ArrayList<>();
    String configuration = fleet.fillPlaceholders(plan.configuration());
    for (String section : configuration.split("\n\n")) {
      if (section.startsWith("[endpoint ") && section.contains("data-centre = " + dataCentre)) {
        there.add(section.substring("[endpoint ".length(), section.indexOf(']')));
      }
    }
    long calls = 0;
    for (JsonObject endpoint : allEndpoints()) {
      if (there.contains(endpoint.getString("name"))) {
        calls += endpoint.getLong("calls");
      }
    }
    return calls;
  }

  private List<JsonObject> allEndpoints() throws IOException {
    List<JsonObject> all = new ArrayList<>();
    for (String control : fleet.databaseControls().values()) {
      fleet.control().endpoints(control).forEach(each -> all.add((JsonObject) each));
    }
    return all;
  }

  @When("now is marked")
  public void mark() {
    markedAt = (System.nanoTime() - loadStartedAt) / 1_000;
  }

  @Then("customer {word} is not served later than {int} ms after the mark")
  public void notServedLater(String customer, int milliseconds) {
    long limit = markedAt + milliseconds * 1_000L;
    List<HistoryEntry> late =
        load.history().stream()
            .filter(entry -> entry.customer().equals(customer))
            .filter(entry -> entry.action() != HistoryEntry.Action.FINAL_READ)
            .filter(entry -> entry.sentAt() > limit && !entry.outcome().equals("not-run"))
            .toList();
    assertThat(late).isEmpty();
    assertThat(
            load.history().stream()
                .filter(entry -> entry.customer().equals(customer) && entry.sentAt() > limit))
        .as("requests sent after the limit")
        .isNotEmpty();
  }

  @Then("customer {word} is served after the mark")
  public void servedAfter(String customer) {
    assertThat(
            load.history().stream()
                .filter(entry -> entry.customer().equals(customer))
                .filter(entry -> entry.sentAt() > markedAt && entry.ran()))
        .isNotEmpty();
  }

  @Then("the load ends")
  public void awaitLoad() throws IOException {
    load.await();
    System.out.println(load.report().toTable());
  }

  @Then("no promise is broken")
  public void noViolation() throws IOException {
    assertThat(load.violations()).isEmpty();
    for (JsonObject endpoint : allEndpoints()) {
      String name = endpoint.getString("name");
      assertThat(endpoint.getLong("leakedKeys")).as("keys seen by " + name).isZero();
      assertThat(endpoint.getLong("requestsRunTwice")).as("run twice at " + name).isZero();
      assertThat(endpoint.getLong("maximumConnections"))
          .as("connections to " + name)
          .isLessThanOrEqualTo(plan.endpointSettings().connections());
    }
  }

  @Then("the primary of {word} has changed")
  public void primaryChanged(String database) throws IOException {
    assertThat(primaryOf(database)).isNotEqualTo(primaries.get(database));
  }

  @Then("the primary of {word} has not changed")
  public void primarySame(String database) throws IOException {
    assertThat(primaryOf(database)).isEqualTo(primaries.get(database));
    JsonObject status =
        fleet
            .control()
            .endpoint(fleet.databaseControls().get(database), primaries.get(database))
            .getJsonObject("status");
    assertThat(status.getLong("term")).as("term").isEqualTo(1);
  }

  @Then("the primary of {word} is {word}")
  public void primaryIs(String database, String endpoint) throws IOException {
    assertThat(primaryOf(database)).isEqualTo(endpoint);
  }

  @Then("writes to {word} were acknowledged again within {int} s")
  public void writeGap(String database, int seconds) {
    assertThat(load.report().writeGapMilliseconds().get(database))
        .isLessThan(TimeUnit.SECONDS.toMillis(seconds));
  }

  @Then("no request was refused or lost")
  public void nothingRefused() {
    assertThat(load.history().stream().filter(entry -> !entry.ran()).toList()).isEmpty();
  }

  @Then("no request was refused or lost but for allowances")
  public void nothingElseRefused() {
    assertThat(
            load.history().stream()
                .filter(entry -> !entry.ran())
                .filter(entry -> !entry.code().equals("over-allowance"))
                .toList())
        .isEmpty();
  }

  @Then("customer {word} got no more than its allowance while it asked for more")
  public void heldBack(String customer) {
    LoadReport.CustomerFigures figures =
        load.report().customers().stream()
            .filter(each -> each.customer().equals(customer))
            .findFirst()
            .orElseThrow();
    assertThat(figures.overAllowance()).isPositive();
    assertThat(load.violations()).isEmpty();
  }

  @Then("the surviving log of {word} is the same at all endpoints")
  public void sameLog(String database) throws IOException {
    Fleet.waitFor(() -> hasOneLog(database), "one log at all endpoints of " + database);
  }

  private boolean hasOneLog(String database) {
    try {
      return fleet.control().endpoints(fleet.databaseControls().get(database)).stream()
              .map(each -> ((JsonObject) each).getJsonArray("log").encode())
              .distinct()
              .count()
          == 1;
    } catch (IOException e) {
      return false;
    }
  }

  @Then("VM {word} holds configuration revision of VM {word} within {int} s")
  public void sameRevision(String vm, String other, int seconds) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    Fleet.waitFor(
        () -> revisionOf(vm) == revisionOf(other) || System.nanoTime() - deadline > 0,
        "the same revision");
    assertThat(revisionOf(vm)).isEqualTo(revisionOf(other)).isPositive();
  }

  private long revisionOf(String vm) {
    try {
      return fleet
          .control()
          .status(fleet.vms().get(vm).adminAddress())
          .getLong("configurationRevision");
    } catch (IOException e) {
      return -1;
    }
  }

  @Then("the load saw at least {int} requests in {int} s")
  public void enoughRequests(int count, int seconds) {
    assertThat(
            load.history().stream()
                .filter(entry -> entry.sentAt() < seconds * MICROSECONDS_PER_SECOND)
                .count())
        .isGreaterThanOrEqualTo(count);
  }
}
