package org.toucanmast.runtime.endpoint;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.toucanmast.core.group.EndpointStatus;
import org.toucanmast.core.group.LogSummary;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.group.Role;
import org.toucanmast.runtime.endpoint.EndpointReply.Result;

/** The JSON form of calls to endpoints and of their answers. */
public final class EndpointJson {
  private EndpointJson() {}

  /**
   * Writes a call.
   *
   * @param callId echoed by the endpoint, so that an answer is never taken for another's
   */
  public static JsonObject ofCall(EndpointCall call, long callId) {
    return new JsonObject()
        .put("callId", callId)
        .put("operation", name(call.operation()))
        .put("requestId", call.requestId())
        .put("kind", name(call.kind()))
        .put("term", call.term())
        .put("primary", call.primary())
        .put("statements", new JsonArray(call.statements()));
  }

  /**
   * Reads an answer.
   *
   * @param callId the call that was made
   * @throws EndpointException when the answer is not whole or belongs to another call
   */
  public static EndpointReply toReply(String endpoint, String text, long callId)
      throws EndpointException {
    try {
      JsonObject json = new JsonObject(text);
      if (json.getLong("callId") != callId) {
        throw unreadable(endpoint, "it belongs to another call");
      }
      List<String> rows = new ArrayList<>();
      JsonArray list = json.getJsonArray("rows", new JsonArray());
      for (int index = 0; index < list.size(); index++) {
        rows.add(list.getString(index));
      }
      EndpointStatus status = toStatus(endpoint, json.getJsonObject("status"));
      return new EndpointReply(
          Result.valueOf(constant(json.getString("result"))),
          status,
          new Position(json.getLong("entryTerm", 0L), json.getLong("index", 0L)),
          rows,
          json.getBoolean("duplicate", false),
          json.getString("message", ""));
    } catch (DecodeException
        | ClassCastException
        | NullPointerException
        | IllegalArgumentException e) {
      throw unreadable(endpoint, e.getMessage());
    }
  }

  /** Reads an endpoint's statement of itself. */
  public static EndpointStatus toStatus(String endpoint, JsonObject json) {
    List<Position> starts = new ArrayList<>();
    JsonArray list = json.getJsonArray("termStarts");
    for (int index = 0; index < list.size(); index++) {
      JsonArray start = list.getJsonArray(index);
      starts.add(new Position(start.getLong(0), start.getLong(1)));
    }
    Position end = new Position(json.getLong("entryTerm"), json.getLong("index"));
    return new EndpointStatus(
        endpoint,
        json.getLong("term"),
        Role.valueOf(constant(json.getString("role"))),
        new LogSummary(end, starts));
  }

  /** Writes an endpoint's statement of itself. */
  public static JsonObject ofStatus(EndpointStatus status) {
    JsonArray starts = new JsonArray();
    status
        .log()
        .termStarts()
        .forEach(start -> starts.add(new JsonArray().add(start.term()).add(start.index())));
    return new JsonObject()
        .put("term", status.term())
        .put("role", name(status.role()))
        .put("entryTerm", status.position().term())
        .put("index", status.position().index())
        .put("termStarts", starts);
  }

  /** Returns the word for a constant, for example {@code wrong-term}. */
  public static String name(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the constant's name for a word. */
  public static String constant(String word) {
    return word.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private static EndpointException unreadable(String endpoint, String reason) {
    return new EndpointException(
        EndpointException.Kind.NO_ANSWER,
        "the answer of " + endpoint + " cannot be used: " + reason);
  }
}
