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

/** One endpoint of a stand-in group; used from the group's thread only. */
final class EndpointStandin {
  private static final long MICROSECONDS_PER_MILLISECOND = 1_000;

  /** A transaction that is open on a connection. */
  private static final class Session {
    private KeyValueState view;
    private long term;
    private final List<String> statements = new ArrayList<>();
  }

  private final Vertx vertx;
  private final String name;
  private final ReplicatedLog log = new ReplicatedLog();
  private final Map<HttpConnection, Session> sessions = new HashMap<>();
  private final Deque<Runnable> waiting = new ArrayDeque<>();
  private final Map<String, Integer> runs = new HashMap<>();
  private EndpointSettings settings;
  private EndpointFaults faults = EndpointFaults.NONE;
  private long term;
  private long primaryTerm;
  private String orderer = "";
  private Role role = Role.REPLICA;
  private int running;
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

  /** Tells whether this endpoint is, or was last, the primary of its term. */
  boolean ledTerm(long wanted) {
    return primaryTerm == wanted;
  }

  void setFaults(EndpointFaults changed) {
    faults = changed;
    if (changed.crashed()) {
      sessions.clear();
    }
  }

  void becomeFirstPrimary() {
    term = 1;
    primaryTerm = 1;
    role = Role.PRIMARY;
  }

  /** Returns what the endpoint says of itself. */
  JsonObject status() {
    return EndpointJson.ofStatus(new EndpointStatus(name, term, role, log.summary()));
  }

  /** Grants a term once, to one orderer; from then on nothing of a lower term is accepted. */
  JsonObject fence(long newTerm, String newOrderer) {
    boolean granted =
        newTerm > term || (newTerm == term && newOrderer.equals(orderer) && primaryTerm != term);
    if (granted) {
      adopt(newTerm);
      orderer = newOrderer;
    }
    return new JsonObject().put("granted", granted).put("status", status());
  }

  JsonObject promote(long newTerm, String newOrderer) {
    boolean granted = newTerm == term && newOrderer.equals(orderer);
    if (granted) {
      role = Role.PRIMARY;
      primaryTerm = term;
    }
    return new JsonObject().put("granted", granted).put("status", status());
  }

  private void adopt(long newTerm) {
    term = newTerm;
    role = Role.REPLICA;
    sessions.clear();
  }

  /** Follows the primary: takes its term, drops what it does not have, copies what is due. */
  void follow(EndpointStandin primary, long now) {
    if (primary.term < term && !(primary.ledTerm(term))) {
      return;
    }
    if (primary.term > term && primary.role == Role.PRIMARY) {
      adopt(primary.term);
    }
    log.truncateToPrefixOf(primary.log);
    while (log.size() < primary.log.size()) {
      LogEntry next = primary.log.entries().get(log.size());
      if (next.writtenAt() + settings.lagMilliseconds() > now) {
        return;
      }
      log.replicate(next);
    }
  }

  /** Forgets a connection; its transaction is rolled back. */
  void onClosed(HttpConnection connection) {
    sessions.remove(connection);
  }

  /** Runs a call when a slot is free; the answer follows after the time of service. */
  void call(HttpConnection connection, JsonObject call, Consumer<JsonObject> answer) {
    waiting.addLast(() -> run(connection, call, answer));
    pump();
  }

  private void pump() {
    while (running < settings.slots() && !waiting.isEmpty()) {
      running++;
      maximumRunning = Math.max(maximumRunning, running);
      waiting.pollFirst().run();
    }
  }

  private void run(HttpConnection connection, JsonObject call, Consumer<JsonObject> answer) {
    JsonObject result = execute(connection, call).put("callId", call.getLong("callId"));
    long microseconds = settings.serviceMicroseconds();
    Runnable end =
        () -> {
          running--;
          answer.accept(result);
          pump();
        };
    if (microseconds < MICROSECONDS_PER_MILLISECOND) {
      vertx.runOnContext(nothing -> end.run());
    } else {
      vertx
          .timer(microseconds / MICROSECONDS_PER_MILLISECOND, TimeUnit.MILLISECONDS)
          .onComplete(done -> end.run());
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
    call.getJsonArray("statements").forEach(each -> statements.add((String) each));
    try {
      return switch (call.getString("operation")) {
        case "begin" -> begin(connection);
        case "continue" -> continueTransaction(connection, statements);
        case "commit" -> commit(connection, call.getString("requestId"));
        case "rollback" -> rollBack(connection);
        default -> runAlone(call, statements);
      };
    } catch (StatementException e) {
      return refusal("refused", e.getMessage());
    }
  }

  private JsonObject runAlone(JsonObject call, List<String> statements) throws StatementException {
    if (call.getString("kind").equals("read")) {
      for (String statement : statements) {
        if (!statement.startsWith("get ")) {
          throw new StatementException(statement);
        }
      }
      return ran(log.state().run(statements), log.end(), false);
    }
    return write(call.getString("requestId"), statements);
  }

  private JsonObject write(String requestId, List<String> statements) throws StatementException {
    Optional<Integer> earlier = log.find(requestId);
    if (earlier.isPresent()) {
      LogEntry entry = log.entries().get(earlier.get() - 1);
      return ran(entry.rows(), log.positionOf(earlier.get()), true);
    }
    LogEntry entry = log.write(term, requestId, statements, System.currentTimeMillis());
    runs.merge(requestId, 1, Integer::sum);
    return ran(entry.rows(), log.end(), false);
  }

  private JsonObject begin(HttpConnection connection) {
    Session session = new Session();
    session.view = log.state().copy();
    session.term = term;
    sessions.put(connection, session);
    return ran(List.of(), log.end(), false);
  }

  private JsonObject continueTransaction(HttpConnection connection, List<String> statements)
      throws StatementException {
    Session session = sessions.get(connection);
    if (session == null) {
      return refusal("no-transaction", "no transaction is open on this connection");
    }
    List<String> rows = session.view.run(statements);
    session.statements.addAll(statements);
    return ran(rows, log.end(), false);
  }

  private JsonObject commit(HttpConnection connection, String requestId) throws StatementException {
    Session session = sessions.remove(connection);
    if (session == null || session.term != term) {
      return refusal("no-transaction", "no transaction is open on this connection");
    }
    return write(requestId, session.statements);
  }

  private JsonObject rollBack(HttpConnection connection) {
    sessions.remove(connection);
    return ran(List.of(), log.end(), false);
  }

  private JsonObject ran(List<String> rows, Position position, boolean duplicate) {
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

  /** Describes the endpoint for checkers. */
  JsonObject describe() {
    JsonArray entries = new JsonArray();
    for (LogEntry entry : log.entries()) {
      entries.add(
          new JsonObject()
              .put("term", entry.term())
              .put("requestId", entry.requestId())
              .put("statements", new JsonArray(entry.statements())));
    }
    long doubled = runs.values().stream().filter(count -> count > 1).count();
    return new JsonObject()
        .put("name", name)
        .put("status", status())
        .put("maximumRunning", maximumRunning)
        .put("requestsRunTwice", doubled)
        .put("openTransactions", sessions.size())
        .put("log", entries);
  }
}
