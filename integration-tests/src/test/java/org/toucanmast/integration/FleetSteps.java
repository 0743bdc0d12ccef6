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

/** Step definitions of the Cucumber scenarios. */
public final class FleetSteps {
  private static final long SEED = 20261204;
  private static final double MICROSECONDS_PER_SECOND = 1e6;

  private FleetPlan plan;
  private FaultInjectingLinks links;
  private Fleet fleet;
  private BackgroundLoad load;
  private final Map<String, Map<String, String>> overriddenLoadKeys = new HashMap<>();
  private final Map<String, String> initialPrimaries = new HashMap<>();
  private long loadStartedAtInNanoseconds;
  private long markedAtInMicroseconds;
  private long countedCalls;
  private int exitCode;

  /** Ends all processes of the scenario. */
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
  public void setDeployment(String name, int vmCount) {
    plan = FleetPlan.of(Deployment.valueOf(name.toUpperCase(Locale.ROOT))).withVms(vmCount);
  }

  @Given("replicas follow {int} ms late")
  public void setReplicationLag(int milliseconds) {
    plan = plan.withEndpointSettings(plan.endpointSettings().withLag(milliseconds));
  }

  @Given("endpoints take {int} ms for a request")
  public void setServiceTime(int milliseconds) {
    long microseconds = TimeUnit.MILLISECONDS.toMicros(milliseconds);
    plan = plan.withEndpointSettings(plan.endpointSettings().withServiceTime(microseconds));
  }

  @Given("writes are acknowledged by {word}")
  public void setAcknowledgementRule(String rule) {
    plan =
        plan.withConfiguration(
            plan.configuration().replace("acknowledge = position", "acknowledge = " + rule));
  }

  @Given("the platform's list of VMs is {int} ms late")
  public void setVmListLag(int milliseconds) {
    plan = plan.withListLag(Duration.ofMillis(milliseconds));
  }

  @Given("the setting {word} is {word}")
  public void changeSetting(String key, String value) {
    plan = plan.withSetting(key, value);
  }

  @Given("the fleet runs")
  public void startFleet() throws IOException {
    fleet = Fleet.start(plan);
    recordInitialPrimaries();
  }

  @Given("the fleet runs behind fault-injecting proxies")
  public void startFleetBehindProxies() throws IOException {
    links = new FaultInjectingLinks();
    fleet = Fleet.start(plan, links);
    recordInitialPrimaries();
  }

  private void recordInitialPrimaries() throws IOException {
    for (String database : fleet.databaseControls().keySet()) {
      initialPrimaries.put(database, primaryOf(database));
    }
  }

  @Given("customer {word} sends {word} by {word}")
  public void overrideLoadKey(String customer, String value, String key) {
    overriddenLoadKeys.computeIfAbsent(customer, name -> new HashMap<>()).put(key, value);
  }

  @When("load runs for {int} s at {int} percent of the rates")
  public void startLoad(int seconds, int percent) throws InvalidTextException {
    String configuration = fleet.fillPlaceholders(plan.configuration());
    LoadScenario scenario =
        SampleLoad.of(configuration, percent / 100.0, seconds + "s", SEED, overriddenLoadKeys);
    load = new BackgroundLoad(fleet, scenario);
    loadStartedAtInNanoseconds = System.nanoTime();
    load.start();
  }

  @When("{int} ms pass")
  public void waitMilliseconds(int milliseconds) throws InterruptedException {
    TimeUnit.MILLISECONDS.sleep(milliseconds);
  }

  private String primaryOf(String database) throws IOException {
    String primary = "";
    long highestTerm = -1;
    for (Object each : fleet.control().endpoints(fleet.databaseControls().get(database))) {
      JsonObject endpoint = (JsonObject) each;
      JsonObject status = endpoint.getJsonObject("status");
      if (status.getString("role").equals("primary") && status.getLong("term") > highestTerm) {
        highestTerm = status.getLong("term");
        primary = endpoint.getString("name");
      }
    }
    return primary;
  }

  private void injectFault(String database, String endpoint, JsonObject fault) throws IOException {
    fleet.control().setEndpoint(fleet.databaseControls().get(database), endpoint, fault);
  }

  @When("the primary of {word} {word}")
  public void failPrimary(String database, String fault) throws IOException {
    injectFault(database, initialPrimaries.get(database), faultOf(fault));
  }

  @When("the first primary of {word} is well again")
  public void recoverFirstPrimary(String database) throws IOException {
    injectFault(database, initialPrimaries.get(database), new JsonObject());
  }

  @When("the replicas of {word} {word}")
  public void setFaultOfReplicas(String database, String fault) throws IOException {
    for (Object each : fleet.control().endpoints(fleet.databaseControls().get(database))) {
      String name = ((JsonObject) each).getString("name");
      if (!name.equals(initialPrimaries.get(database))) {
        injectFault(database, name, faultOf(fault));
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
      default -> throw new IllegalArgumentException("unknown fault: " + word);
    };
  }

  @When("the primary of {word} is cut from its group and from VMs {word}")
  public void isolatePrimary(String database, String vms) throws IOException {
    JsonArray blocked = new JsonArray(List.of(vms.split(",")));
    injectFault(
        database,
        initialPrimaries.get(database),
        new JsonObject().put("cutFromGroup", true).put("blockedVms", blocked));
  }

  @When("the primary of {word} does not hear {word}")
  public void blockVmAtPrimary(String database, String vm) throws IOException {
    injectFault(
        database,
        initialPrimaries.get(database),
        new JsonObject().put("blockedVms", new JsonArray().add(vm)));
  }

  @When("the platform is {word}")
  public void setPlatformFault(String word) throws IOException {
    String name = word.toUpperCase(Locale.ROOT).replace('-', '_');
    PlatformFault fault = name.equals("WELL") ? PlatformFault.NONE : PlatformFault.valueOf(name);
    fleet.control().setFault(fleet.platformAddress(), fault, 1_500);
  }

  @When("a copy of the platform is taken")
  public void copyPlatform() throws IOException {
    fleet.control().copy(fleet.platformAddress());
  }

  @When("the platform is restored from the copy")
  public void restorePlatform() throws IOException {
    fleet.control().restore(fleet.platformAddress());
  }

  @When("VM {word} is killed")
  public void killVm(String vm) {
    fleet.vms().get(vm).process().kill();
  }

  @When("VM {word} starts again")
  public void startVm(String vm) throws IOException {
    fleet.vms().get(vm).process().launch();
  }

  @When("the platform lists the VMs that run")
  public void listRunningVms() throws IOException {
    fleet.updateVmList();
  }

  @When("VM {word} is paused for {int} ms")
  public void pauseVm(String vm, int milliseconds) throws IOException, InterruptedException {
    fleet.vms().get(vm).process().pause();
    TimeUnit.MILLISECONDS.sleep(milliseconds);
    fleet.vms().get(vm).process().resume();
  }

  @When("VM {word} is terminated")
  public void terminateVm(String vm) {
    fleet.vms().get(vm).process().terminate();
    exitCode = fleet.vms().get(vm).process().awaitExit();
  }

  @Then("its exit code is {int}")
  public void checkExitCode(int expected) {
    assertThat(exitCode).isEqualTo(expected);
  }

  @When("every VM is restarted in turn")
  public void restartVmsInTurn() throws IOException {
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
  public void runOperatorCommand(String command) {
    assertThat(fleet.runOperatorCommand(command.split(" "))).as("exit code of " + command).isZero();
  }

  @When("endpoint calls in data centre {word} are counted after {int} ms")
  public void countCallsAfter(String dataCentre, int milliseconds)
      throws IOException, InterruptedException {
    TimeUnit.MILLISECONDS.sleep(milliseconds);
    countedCalls = callsIn(dataCentre);
  }

  @Then("no further call reached data centre {word}")
  public void checkNoFurtherCalls(String dataCentre) throws IOException {
    assertThat(callsIn(dataCentre)).isEqualTo(countedCalls);
  }

  @Then("VM {word} gets no callers")
  public void checkVmNotReady(String vm) {
    assertThat(fleet.control().isReady(fleet.vms().get(vm).adminAddress())).isFalse();
  }

  @Then("VM {word} gets callers")
  public void checkVmReady(String vm) throws IOException {
    Fleet.waitFor(
        () -> fleet.control().isReady(fleet.vms().get(vm).adminAddress()), vm + " to be ready");
  }

  @Then("further calls reached data centre {word}")
  public void checkFurtherCalls(String dataCentre) throws IOException {
    assertThat(callsIn(dataCentre)).isGreaterThan(countedCalls);
  }

  private long callsIn(String dataCentre) throws IOException {
    List<String> endpointNames = new ArrayList<>();
    String configuration = fleet.fillPlaceholders(plan.configuration());
    for (String section : configuration.split("\n\n")) {
      if (section.startsWith("[endpoint ") && section.contains("data-centre = " + dataCentre)) {
        endpointNames.add(section.substring("[endpoint ".length(), section.indexOf(']')));
      }
    }
    long calls = 0;
    for (JsonObject endpoint : allEndpoints()) {
      if (endpointNames.contains(endpoint.getString("name"))) {
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
  public void markTime() {
    markedAtInMicroseconds = (System.nanoTime() - loadStartedAtInNanoseconds) / 1_000;
  }

  @Then("customer {word} is not served later than {int} ms after the mark")
  public void checkNotServedAfterLimit(String customer, int milliseconds) {
    long limitInMicroseconds = markedAtInMicroseconds + milliseconds * 1_000L;
    List<HistoryEntry> late =
        load.history().stream()
            .filter(entry -> entry.customer().equals(customer))
            .filter(entry -> entry.action() != HistoryEntry.Action.FINAL_READ)
            .filter(
                entry -> entry.sentAt() > limitInMicroseconds && !entry.outcome().equals("not-run"))
            .toList();
    assertThat(late).isEmpty();
    assertThat(
            load.history().stream()
                .filter(
                    entry ->
                        entry.customer().equals(customer) && entry.sentAt() > limitInMicroseconds))
        .as("requests sent after the limit")
        .isNotEmpty();
  }

  @Then("customer {word} is served after the mark")
  public void checkServedAfterMark(String customer) {
    assertThat(
            load.history().stream()
                .filter(entry -> entry.customer().equals(customer))
                .filter(entry -> entry.sentAt() > markedAtInMicroseconds && entry.ran()))
        .isNotEmpty();
  }

  @Then("the load ends")
  public void awaitLoad() throws IOException {
    load.await();
    System.out.println(load.report().toTable());
  }

  @Then("no promise is broken")
  public void checkGuarantees() throws IOException {
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
  public void checkPrimaryChanged(String database) throws IOException {
    assertThat(primaryOf(database)).isNotEqualTo(initialPrimaries.get(database));
  }

  @Then("the primary of {word} has not changed")
  public void checkPrimaryNotChanged(String database) throws IOException {
    assertThat(primaryOf(database)).isEqualTo(initialPrimaries.get(database));
    JsonObject status =
        fleet
            .control()
            .endpoint(fleet.databaseControls().get(database), initialPrimaries.get(database))
            .getJsonObject("status");
    assertThat(status.getLong("term")).as("term").isEqualTo(1);
  }

  @Then("the primary of {word} is {word}")
  public void checkPrimaryIs(String database, String endpoint) throws IOException {
    assertThat(primaryOf(database)).isEqualTo(endpoint);
  }

  @Then("writes to {word} were acknowledged again within {int} s")
  public void checkWriteGap(String database, int seconds) {
    assertThat(load.report().writeGapMilliseconds().get(database))
        .isLessThan(TimeUnit.SECONDS.toMillis(seconds));
  }

  @Then("no request was refused or lost")
  public void checkAllRequestsRan() {
    assertThat(load.history().stream().filter(entry -> !entry.ran()).toList()).isEmpty();
  }

  @Then("no request was refused or lost but for allowances")
  public void checkAllRequestsRanWithinAllowances() {
    assertThat(
            load.history().stream()
                .filter(entry -> !entry.ran())
                .filter(entry -> !entry.code().equals("over-allowance"))
                .toList())
        .isEmpty();
  }

  @Then("customer {word} got no more than its allowance while it asked for more")
  public void checkAllowanceEnforced(String customer) {
    LoadReport.CustomerFigures figures =
        load.report().customers().stream()
            .filter(each -> each.customer().equals(customer))
            .findFirst()
            .orElseThrow();
    assertThat(figures.overAllowance()).isPositive();
    assertThat(load.violations()).isEmpty();
  }

  @Then("the surviving log of {word} is the same at all endpoints")
  public void checkSameLog(String database) throws IOException {
    Fleet.waitFor(() -> hasSameLog(database), "the same log at all endpoints of " + database);
  }

  private boolean hasSameLog(String database) {
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
  public void checkSameRevision(String vm, String other, int seconds) throws IOException {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    Fleet.waitFor(
        () -> revisionOf(vm) == revisionOf(other) || System.nanoTime() - deadline > 0,
        "the same configuration revision");
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
  public void checkRequestCount(int count, int seconds) {
    assertThat(
            load.history().stream()
                .filter(entry -> entry.sentAt() < seconds * MICROSECONDS_PER_SECOND)
                .count())
        .isGreaterThanOrEqualTo(count);
  }
}
