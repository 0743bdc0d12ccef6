package org.toucanmast.integration;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.toucanmast.core.text.InvalidTextException;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.ReadyVms;
import org.toucanmast.standin.load.HistoryChecker;
import org.toucanmast.standin.load.HistoryEntry;
import org.toucanmast.standin.load.LoadReport;
import org.toucanmast.standin.load.LoadRunner;
import org.toucanmast.standin.load.LoadScenario;
import org.toucanmast.standin.load.Violation;

/** Load that runs concurrently with the steps of a test; requests go only to ready VMs. */
final class BackgroundLoad {
  private final Fleet fleet;
  private final LoadScenario scenario;
  private final Vertx vertx = Vertx.vertx();
  private CompletableFuture<List<HistoryEntry>> pendingHistory;
  private List<HistoryEntry> history;

  BackgroundLoad(Fleet fleet, LoadScenario scenario) {
    this.fleet = fleet;
    this.scenario = scenario;
  }

  void start() {
    pendingHistory =
        new LoadRunner(vertx, scenario, new ReadyVms(fleet))
            .run()
            .toCompletionStage()
            .toCompletableFuture();
  }

  List<HistoryEntry> await() throws IOException {
    history = pendingHistory.join();
    vertx.close().toCompletionStage().toCompletableFuture().join();
    return history;
  }

  List<HistoryEntry> history() {
    return history;
  }

  List<Violation> violations() {
    return HistoryChecker.check(history, scenario.allowances());
  }

  LoadReport report() {
    return LoadReport.of(history, scenario, violations());
  }

  static LoadScenario scenario(String text) throws InvalidTextException {
    return LoadScenario.parse(text, "test");
  }
}
