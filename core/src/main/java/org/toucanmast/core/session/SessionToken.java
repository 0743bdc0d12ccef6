package org.toucanmast.core.session;

import com.google.common.io.BaseEncoding;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import org.toucanmast.core.group.Position;
import org.toucanmast.schema.SessionPositionMessage;
import org.toucanmast.schema.SessionTokenMessage;

/**
 * The newest log position that a session has written or read in each database. The caller keeps the
 * token and sends it with its requests, so that any VM can serve the session.
 *
 * <p>Example: {@code SessionToken.decode(header).advance("stock", position).encode()}.
 *
 * @param databases the session's view of each database by database name
 */
public record SessionToken(Map<String, SessionView> databases) {
  private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();
  private static final int MAXIMUM_LENGTH_IN_CHARACTERS = 16_384;

  /** Creates a token with an unmodifiable copy of the map. */
  public SessionToken {
    databases = Map.copyOf(databases);
  }

  /** Returns the token of a session that has not read or written yet. */
  public static SessionToken empty() {
    return new SessionToken(Map.of());
  }

  /**
   * Decodes the text form of a token; null or an empty string is the empty token.
   *
   * @throws InvalidSessionTokenException when the text is too long or is not an encoded token
   */
  public static SessionToken decode(String text) throws InvalidSessionTokenException {
    if (text == null || text.isEmpty()) {
      return empty();
    }
    if (text.length() > MAXIMUM_LENGTH_IN_CHARACTERS) {
      throw new InvalidSessionTokenException(
          "longer than " + MAXIMUM_LENGTH_IN_CHARACTERS + " characters");
    }
    try {
      SessionTokenMessage message = SessionTokenMessage.parseFrom(ENCODING.decode(text));
      Map<String, SessionView> views = new HashMap<>();
      message.getPositionsMap().forEach((name, view) -> views.put(name, toView(view)));
      return new SessionToken(views);
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      throw new InvalidSessionTokenException("not a session token");
    }
  }

  /** Returns the text form of this token: base64url without padding. */
  public String encode() {
    SessionTokenMessage.Builder message = SessionTokenMessage.newBuilder();
    databases.forEach(
        (name, view) ->
            message.putPositions(
                name,
                SessionPositionMessage.newBuilder()
                    .setTerm(view.position().term())
                    .setIndex(view.position().index())
                    .setUncertainTerm(view.uncertainTerm())
                    .build()));
    return ENCODING.encode(message.build().toByteArray());
  }

  /** Returns the session's view of a database; the empty view when the token holds none. */
  public SessionView viewOf(String database) {
    return databases.getOrDefault(database, SessionView.EMPTY);
  }

  /** Returns whether the token holds a view of the database. */
  public boolean knows(String database) {
    return databases.containsKey(database);
  }

  /** Returns a copy of this token with the given view of one database. */
  public SessionToken with(String database, SessionView view) {
    Map<String, SessionView> changed = new HashMap<>(databases);
    changed.put(database, view);
    return new SessionToken(changed);
  }

  /** Returns a copy of this token whose view of a database covers the given position. */
  public SessionToken advance(String database, Position position) {
    return with(database, viewOf(database).advance(position));
  }

  private static SessionView toView(SessionPositionMessage view) {
    return new SessionView(new Position(view.getTerm(), view.getIndex()), view.getUncertainTerm());
  }
}
