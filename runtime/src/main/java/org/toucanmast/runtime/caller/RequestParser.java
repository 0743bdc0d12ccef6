package org.toucanmast.runtime.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.nio.charset.StandardCharsets;
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

/** Parses the HTTP requests of callers; malformed requests are refused. */
final class RequestParser {
  static final String SESSION_TOKEN_HEADER = "Session-Token";
  static final String REQUEST_ID_HEADER = "Request-Id";
  private static final String BEARER_PREFIX = "Bearer ";
  private static final Pattern REQUEST_ID_PATTERN = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
  private static final int MAXIMUM_STATEMENTS = 64;

  private final long requestTimeoutInNanoseconds;

  /**
   * Creates a parser.
   *
   * @param requestTimeoutInNanoseconds the time from the arrival of a request to its deadline
   */
  RequestParser(long requestTimeoutInNanoseconds) {
    this.requestTimeoutInNanoseconds = requestTimeoutInNanoseconds;
  }

  /** Returns the API key of a request, or null if it has none. */
  static String apiKeyOf(HttpServerRequest request) {
    String header = request.getHeader("Authorization");
    return header != null && header.startsWith(BEARER_PREFIX)
        ? header.substring(BEARER_PREFIX.length()).strip()
        : null;
  }

  /** Returns the request id that the caller set, or a random one. */
  static String requestIdOf(HttpServerRequest request) throws RefusedException {
    String id = request.getHeader(REQUEST_ID_HEADER);
    if (id == null) {
      return UUID.randomUUID().toString();
    }
    if (!REQUEST_ID_PATTERN.matcher(id).matches()) {
      throw malformed(
          REQUEST_ID_HEADER + " must be 1 to 128 letters, digits, dots, colons, hyphens");
    }
    return id;
  }

  /** Returns the session token of a request; the empty token if it has none. */
  static SessionToken sessionTokenOf(HttpServerRequest request) throws RefusedException {
    try {
      return SessionToken.decode(request.getHeader(SESSION_TOKEN_HEADER));
    } catch (InvalidSessionTokenException e) {
      throw malformed(e.getMessage());
    }
  }

  /**
   * Parses a request whose body may have statements.
   *
   * @param arrivedAt the time of the request's arrival, in nanoseconds
   */
  CallerRequest parse(
      HttpServerRequest http,
      Principal principal,
      String database,
      Buffer body,
      RequestKind defaultKind,
      long arrivedAt)
      throws RefusedException {
    try {
      JsonObject json = body.length() == 0 ? new JsonObject() : body.toJsonObject();
      return new CallerRequest(
          requestIdOf(http),
          principal,
          database,
          kindOf(json, defaultKind),
          freshnessOf(json.getString("maximumAge")),
          sessionTokenOf(http),
          statementsOf(json),
          arrivedAt,
          arrivedAt + requestTimeoutInNanoseconds);
    } catch (DecodeException | ClassCastException e) {
      throw malformed("the body is not a JSON object of the expected form");
    }
  }

  /**
   * Creates the read request of a public route.
   *
   * @param maximumAge the maximum age of the data that is read, in nanoseconds
   * @param arrivedAt the time of the request's arrival, in nanoseconds
   */
  CallerRequest createRouteRead(
      HttpServerRequest http,
      Principal principal,
      String database,
      String statement,
      long maximumAge,
      long arrivedAt)
      throws RefusedException {
    return new CallerRequest(
        requestIdOf(http),
        principal,
        database,
        RequestKind.READ,
        new ReadFreshness(maximumAge),
        sessionTokenOf(http),
        List.of(statement),
        arrivedAt,
        arrivedAt + requestTimeoutInNanoseconds);
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

  private static ReadFreshness freshnessOf(String maximumAge) throws RefusedException {
    if (maximumAge == null) {
      return ReadFreshness.OF_SESSION;
    }
    try {
      return new ReadFreshness((Long) ValueFormat.DURATION.parse(maximumAge));
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
      if (!(array.getValue(index) instanceof String statement)) {
        throw malformed("a statement is not a string");
      }
      // Only text that UTF-8 can carry reaches other VMs and endpoints unchanged.
      if (!StandardCharsets.UTF_8.newEncoder().canEncode(statement)) {
        throw malformed("a statement has an unpaired surrogate");
      }
      statements.add(statement);
    }
    return statements;
  }

  private static RefusedException malformed(String message) {
    return new RefusedException(Refusal.MALFORMED, message);
  }
}
