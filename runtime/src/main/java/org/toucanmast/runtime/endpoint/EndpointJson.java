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

/** Converts calls to endpoints and their replies to and from JSON. */
public final class EndpointJson {
  private EndpointJson() {}

  /**
   * Returns a call as JSON.
   *
   * @param callId the id that the endpoint repeats in its reply, so that a reply is not taken for
   *     that of another call
   */
  public static JsonObject ofCall(EndpointCall call, long callId) {
    return new JsonObject()
        .put("callId", callId)
        .put("operation", jsonNameOf(call.operation()))
        .put("customer", call.customer())
        .put("requestId", call.requestId())
        .put("kind", jsonNameOf(call.kind()))
        .put("term", call.term())
        .put("primary", call.requiresPrimary())
        .put("statements", new JsonArray(call.statements()));
  }

  /**
   * Parses a reply.
   *
   * @param callId the id of the call
   * @throws EndpointException when the reply is malformed or belongs to another call
   */
  public static EndpointReply toReply(String endpoint, String text, long callId)
      throws EndpointException {
    try {
      JsonObject json = new JsonObject(text);
      if (json.getLong("callId") != callId) {
        throw invalidReply(endpoint, "it belongs to another call");
      }
      List<String> rows = new ArrayList<>();
      JsonArray array = json.getJsonArray("rows", new JsonArray());
      for (int index = 0; index < array.size(); index++) {
        rows.add(array.getString(index));
      }
      EndpointStatus status = toStatus(endpoint, json.getJsonObject("status"));
      return new EndpointReply(
          Result.valueOf(constantNameOf(json.getString("result"))),
          status,
          new Position(json.getLong("entryTerm", 0L), json.getLong("index", 0L)),
          rows,
          json.getBoolean("duplicate", false),
          json.getString("message", ""));
    } catch (DecodeException
        | ClassCastException
        | NullPointerException
        | IllegalArgumentException e) {
      throw invalidReply(endpoint, e.getMessage());
    }
  }

  /** Parses the status of an endpoint. */
  public static EndpointStatus toStatus(String endpoint, JsonObject json) {
    List<Position> termStarts = new ArrayList<>();
    JsonArray array = json.getJsonArray("termStarts");
    for (int index = 0; index < array.size(); index++) {
      JsonArray start = array.getJsonArray(index);
      termStarts.add(new Position(start.getLong(0), start.getLong(1)));
    }
    Position end = new Position(json.getLong("entryTerm"), json.getLong("index"));
    return new EndpointStatus(
        endpoint,
        json.getLong("term"),
        Role.valueOf(constantNameOf(json.getString("role"))),
        new LogSummary(end, termStarts));
  }

  /** Returns the status of an endpoint as JSON. */
  public static JsonObject ofStatus(EndpointStatus status) {
    JsonArray termStarts = new JsonArray();
    status
        .log()
        .termStarts()
        .forEach(start -> termStarts.add(new JsonArray().add(start.term()).add(start.index())));
    return new JsonObject()
        .put("term", status.term())
        .put("role", jsonNameOf(status.role()))
        .put("entryTerm", status.position().term())
        .put("index", status.position().index())
        .put("termStarts", termStarts);
  }

  /** Returns the JSON form of an enum constant, for example {@code wrong-term}. */
  public static String jsonNameOf(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** Returns the name of the enum constant that has the given JSON form. */
  public static String constantNameOf(String jsonName) {
    return jsonName.toUpperCase(Locale.ROOT).replace('-', '_');
  }

  private static EndpointException invalidReply(String endpoint, String reason) {
    return new EndpointException(
        EndpointException.Kind.NO_ANSWER,
        "invalid reply from endpoint " + endpoint + ": " + reason);
  }
}
