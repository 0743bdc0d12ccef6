package org.toucanmast.runtime.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import java.util.regex.Pattern;
import org.toucanmast.core.request.Refusal;
import org.toucanmast.core.request.RefusedException;
import org.toucanmast.core.request.RequestKind;
import org.toucanmast.core.routing.ReadFreshness;
import org.toucanmast.core.session.InvalidSessionTokenException;
import org.toucanmast.core.session.SessionToken;
import org.toucanmast.core.text.ValueFormat;
import org.toucanmast.core.text.ValueFormatException;
import org.toucanmast.runtime.request.CallerRequest;
import org.toucanmast.runtime.request.Principal;

/** Reads the parts of a caller's HTTP request, refusing what is not well formed. */
final class RequestParser {
  static final String SESSION_HEADER = "Session-Token";
  static final String REQUEST_ID_HEADER = "Request-Id";
  private static final String BEARER = "Bearer ";
  private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
  private static final int MAXIMUM_STATEMENTS = 64;

  private final long requestTimeout;

  /**
   * Creates a parser.
   *
   * @param requestTimeout how long a request may take, in nanoseconds
   */
  RequestParser(long requestTimeout) {
    this.requestTimeout = requestTimeout;
  }

  /** Returns the key that came with a request, or null. */
  static String keyOf(HttpServerRequest request) {
    String header = request.getHeader("Authorization");
    return header != null && header.startsWith(BEARER)
        ? header.substring(BEARER.length()).strip()
        : null;
  }

  /** Returns the caller's request id, or a new one. */
  static String idOf(HttpServerRequest request) throws RefusedException {
    String id = request.getHeader(REQUEST_ID_HEADER);
    if (id == null) {
      return UUID.randomUUID().toString();
    }
    if (!REQUEST_ID.matcher(id).matches()) {
      throw malformed(
          REQUEST_ID_HEADER + " must be 1 to 128 letters, digits, dots, colons, hyphens");
    }
    return id;
  }

  /** Returns the session token that came with a request. */
  static SessionToken tokenOf(HttpServerRequest request) throws RefusedException {
    try {
      return SessionToken.decode(request.getHeader(SESSION_HEADER));
    } catch (InvalidSessionTokenException e) {
      throw malformed(e.getMessage());
    }
  }

  /** Reads a request with statements. */
  CallerRequest parse(
      HttpServerRequest http,
      Principal principal,
      String database,
      Buffer body,
      RequestKind defaultKind,
      long now)
      throws RefusedException {
    try {
      JsonObject json = body.length() == 0 ? new JsonObject() : body.toJsonObject();
      return new CallerRequest(
          idOf(http),
          principal,
          database,
          kindOf(json, defaultKind),
          freshnessOf(json.getString("maximumAge")),
          tokenOf(http),
          statementsOf(json),
          now,
          now + requestTimeout);
    } catch (DecodeException | ClassCastException e) {
      throw malformed("the body is not a JSON object of the expected form");
    }
  }

  /** Makes the request of an open route. */
  CallerRequest openRead(
      HttpServerRequest http,
      Principal principal,
      String database,
      String statement,
      long age,
      long now)
      throws RefusedException {
    return new CallerRequest(
        idOf(http),
        principal,
        database,
        RequestKind.READ,
        new ReadFreshness(age),
        tokenOf(http),
        List.of(statement),
        now,
        now + requestTimeout);
  }

  private static RequestKind kindOf(JsonObject json, RequestKind defaultKind)
      throws RefusedException {
    String kind = json.getString("kind");
    if (kind == null) {
      return defaultKind;
    }
    return switch (kind) {
      case "read" -> RequestKind.READ;
      case "write" -> RequestKind.WRITE;
      case "idempotent-write" -> RequestKind.IDEMPOTENT_WRITE;
      default ->
          throw malformed(
              "kind must be read, write or idempotent-write, not " + kind.toLowerCase(Locale.ROOT));
    };
  }

  private static ReadFreshness freshnessOf(String age) throws RefusedException {
    if (age == null) {
      return ReadFreshness.OF_SESSION;
    }
    try {
      return new ReadFreshness((Long) ValueFormat.DURATION.parse(age));
    } catch (ValueFormatException e) {
      throw malformed("maximumAge: " + e.getMessage());
    }
  }

  private static List<String> statementsOf(JsonObject json) throws RefusedException {
    JsonArray array = json.getJsonArray("statements", new JsonArray());
    if (array.size() > MAXIMUM_STATEMENTS) {
      throw malformed("more than " + MAXIMUM_STATEMENTS + " statements");
    }
    List<String> statements = new ArrayList<>();
    for (int index = 0; index < array.size(); index++) {
      statements.add(array.getString(index));
    }
    if (statements.contains(null)) {
      throw malformed("a statement is null");
    }
    return statements;
  }

  private static RefusedException malformed(String message) {
    return new RefusedException(Refusal.MALFORMED, message);
  }
}
