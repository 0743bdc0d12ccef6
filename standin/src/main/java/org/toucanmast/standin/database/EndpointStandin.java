package org.toucanmast.standin.database;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.group.Role;
import org.toucanmast.runtime.endpoint.EndpointJson;
import org.toucanmast.standin.database.KeyValueState.StatementException;

/**
 * An endpoint of a stand-in database group: its role, term, log, open transactions and call queue.
 *
 * <p>Not thread-safe; used from the event loop of the group only.
 */
final class EndpointStandin {
  private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

  /** An open transaction; a connection has at most one. */
  private static final class Transaction {
    private KeyValueState snapshot;
    private long term;
    private final List<String> statements = new ArrayList<>();
  }

  private final Vertx vertx;
  private final String name;
  private final ReplicatedLog log = new ReplicatedLog();
  private final Map<HttpConnection, Transaction> transactions = new HashMap<>();
  private final Deque<Runnable> waitingCalls = new ArrayDeque<>();
  private final Map<RequestKey, Integer> executionsByRequest = new HashMap<>();
  private EndpointSettings settings;
  private EndpointFaults faults = EndpointFaults.NONE;
  private long term;
  private long primaryTerm;
  private String orderer = "";
  private Role role = Role.REPLICA;
  private int runningCalls;
  private int maximumRunning;

  EndpointStandin(Vertx vertx, String name, EndpointSettings settings) {
    this.vertx = vertx;
    this.name = name;
    this.settings = settings;
  }

  String name() {
    return name;
  }

  EndpointSettings settings() {
    return settings;
  }

  void setSettings(EndpointSettings changed) {
    settings = changed;
  }

  EndpointFaults faults() {
    return faults;
  }

  ReplicatedLog log() {
    return log;
  }

  long term() {
    return term;
  }

  /** Returns whether the given term is the last one in which this endpoint was primary. */
  boolean wasPrimaryInTerm(long otherTerm) {
    return primaryTerm == otherTerm;
  }

  void setFaults(EndpointFaults changed) {
    faults = changed;
    if (changed.crashed()) {
      transactions.clear();
    }
  }

  /** Makes this endpoint the primary of term 1. */
  void becomeFirstPrimary() {
    term = 1;
    primaryTerm = 1;
    role = Role.PRIMARY;
  }

  /** Returns the status that the endpoint reports: name, term, role and log summary. */
  JsonObject status() {
    return EndpointJson.ofStatus(new EndpointStatus(name, term, role, log.summary()));
  }

  /**
   * Grants a term to one promotion order. From then on the endpoint is a replica, and refuses calls
   * to the primary of a lower term.
   *
   * <p>A repeated request of the same order is granted until the endpoint is promoted in that term.
   *
   * @param newOrderer identifies the promotion order
   */
  JsonObject fence(long newTerm, String newOrderer) {
    boolean granted =
        newTerm > term || (newTerm == term && newOrderer.equals(orderer) && primaryTerm != term);
    if (granted) {
      adoptTerm(newTerm);
      orderer = newOrderer;
    }
    return new JsonObject().put("granted", granted).put("status", status());
  }

  /** Makes the endpoint primary of its term if it granted that term to the same promotion order. */
  JsonObject promote(long newTerm, String newOrderer) {
    boolean granted = newTerm == term && newOrderer.equals(orderer);
    if (granted) {
      role = Role.PRIMARY;
      primaryTerm = term;
    }
    return new JsonObject().put("granted", granted).put("status", status());
  }

  private void adoptTerm(long newTerm) {
    term = newTerm;
    role = Role.REPLICA;
    transactions.clear();
  }

  /**
   * Replicates from a source: adopts the higher term of a primary, removes the log entries that the
   * source does not have, and copies those that are older than the replication lag.
   *
   * @param now the current time in milliseconds since the epoch
   */
  void replicateFrom(EndpointStandin source, long now) {
    if (source.term < term && !(source.wasPrimaryInTerm(term))) {
      return;
    }
    if (source.term > term && source.role == Role.PRIMARY) {
      adoptTerm(source.term);
    }
    log.truncateToPrefixOf(source.log);
    while (log.size() < source.log.size()) {
      LogEntry next = source.log.entries().get(log.size());
      if (next.writtenAt() + settings.lagMilliseconds() > now) {
        return;
      }
      log.replicate(next);
    }
  }

  /** Rolls back the open transaction of a closed connection. */
  void onClosed(HttpConnection connection) {
    transactions.remove(connection);
  }

  /**
   * Queues a call, and executes it when a slot is free.
   *
   * @param answer receives the result after the service time, during which the slot is occupied
   */
  void call(HttpConnection connection, JsonObject call, Consumer<JsonObject> answer) {
    waitingCalls.addLast(() -> run(connection, call, answer));
    runWaitingCalls();
  }

  private void runWaitingCalls() {
    while (runningCalls < settings.slots() && !waitingCalls.isEmpty()) {
      runningCalls++;
      maximumRunning = Math.max(maximumRunning, runningCalls);
      waitingCalls.pollFirst().run();
    }
  }

  private void run(HttpConnection connection, JsonObject call, Consumer<JsonObject> answer) {
    JsonObject result = execute(connection, call).put("callId", call.getLong("callId"));
    long microseconds = settings.serviceMicroseconds();
    Runnable finish =
        () -> {
          runningCalls--;
          answer.accept(result);
          runWaitingCalls();
        };
    if (microseconds < MICROSECONDS_PER_MILLISECOND) {
      vertx.runOnContext(ignored -> finish.run());
    } else {
      vertx
          .timer(microseconds / MICROSECONDS_PER_MILLISECOND, TimeUnit.MILLISECONDS)
          .onComplete(ignored -> finish.run());
    }
  }

  private JsonObject execute(HttpConnection connection, JsonObject call) {
    boolean needsPrimary = call.getBoolean("primary");
    if (needsPrimary && call.getLong("term") != term) {
      return refusal("wrong-term", "this endpoint is at term " + term);
    }
    if (needsPrimary && role != Role.PRIMARY) {
      return refusal("not-primary", "this endpoint is a replica");
    }
    List<String> statements = new ArrayList<>();
    call.getJsonArray("statements").forEach(statement -> statements.add((String) statement));
    try {
      return switch (call.getString("operation")) {
        case "begin" -> begin(connection);
        case "continue" -> continueTransaction(connection, statements);
        case "commit" -> commit(connection, RequestKey.of(call));
        case "rollback" -> rollBack(connection);
        default -> runOutsideTransaction(call, statements);
      };
    } catch (StatementException e) {
      return refusal("refused", e.getMessage());
    }
  }

  private JsonObject runOutsideTransaction(JsonObject call, List<String> statements)
      throws StatementException {
    if (call.getString("kind").equals("read")) {
      for (String statement : statements) {
        if (!statement.startsWith("get ")) {
          throw new StatementException(statement);
        }
      }
      return success(log.state().run(statements), log.end(), false);
    }
    return write(RequestKey.of(call), statements);
  }

  private JsonObject write(RequestKey request, List<String> statements) throws StatementException {
    Optional<Integer> earlierIndex = log.find(request);
    if (earlierIndex.isPresent()) {
      LogEntry entry = log.entries().get(earlierIndex.get() - 1);
      return success(entry.rows(), log.positionOf(earlierIndex.get()), true);
    }
    LogEntry entry = log.write(term, request, statements, System.currentTimeMillis());
    executionsByRequest.merge(request, 1, Integer::sum);
    return success(entry.rows(), log.end(), false);
  }

  private JsonObject begin(HttpConnection connection) {
    Transaction transaction = new Transaction();
    transaction.snapshot = log.state().copy();
    transaction.term = term;
    transactions.put(connection, transaction);
    return success(List.of(), log.end(), false);
  }

  private JsonObject continueTransaction(HttpConnection connection, List<String> statements)
      throws StatementException {
    Transaction transaction = transactions.get(connection);
    if (transaction == null) {
      return refusal("no-transaction", "no transaction is open on this connection");
    }
    List<String> rows = transaction.snapshot.run(statements);
    transaction.statements.addAll(statements);
    return success(rows, log.end(), false);
  }

  private JsonObject commit(HttpConnection connection, RequestKey request)
      throws StatementException {
    Transaction transaction = transactions.remove(connection);
    if (transaction == null || transaction.term != term) {
      return refusal("no-transaction", "no transaction is open on this connection");
    }
    return write(request, transaction.statements);
  }

  private JsonObject rollBack(HttpConnection connection) {
    transactions.remove(connection);
    return success(List.of(), log.end(), false);
  }

  private JsonObject success(List<String> rows, Position position, boolean duplicate) {
    return new JsonObject()
        .put("result", "ran")
        .put("rows", new JsonArray(rows))
        .put("entryTerm", position.term())
        .put("index", position.index())
        .put("duplicate", duplicate)
        .put("status", status());
  }

  private JsonObject refusal(String result, String message) {
    return new JsonObject().put("result", result).put("message", message).put("status", status());
  }

  /** Returns the status, the counters and the whole log of the endpoint, for checks. */
  JsonObject describe() {
    JsonArray entries = new JsonArray();
    for (LogEntry entry : log.entries()) {
      entries.add(
          new JsonObject()
              .put("term", entry.term())
              .put("customer", entry.request().customer())
              .put("requestId", entry.request().requestId())
              .put("statements", new JsonArray(entry.statements())));
    }
    long repeatedRequests =
        executionsByRequest.values().stream().filter(count -> count > 1).count();
    return new JsonObject()
        .put("name", name)
        .put("status", status())
        .put("maximumRunning", maximumRunning)
        .put("requestsRunTwice", repeatedRequests)
        .put("openTransactions", transactions.size())
        .put("log", entries);
  }
}
