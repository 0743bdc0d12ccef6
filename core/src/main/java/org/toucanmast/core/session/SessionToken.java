package org.toucanmast.core.session;

import com.google.common.io.BaseEncoding;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.HashMap;
import java.util.Map;
import org.toucanmast.core.group.Position;
import org.toucanmast.schema.SessionPositionMessage;
import org.toucanmast.schema.SessionTokenMessage;

/**
 * What a session has seen of each database; its caller carries it, so that any VM can serve it.
 *
 * <p>Example: {@code SessionToken.decode(header).advance("stock", position).encode()}.
 *
 * @param databases the session's view by database name
 */
public record SessionToken(Map<String, SessionView> databases) {
  private static final BaseEncoding ENCODING = BaseEncoding.base64Url().omitPadding();
  private static final int MAXIMUM_LENGTH = 16_384;

  /** Keeps a copy of the map. */
  public SessionToken {
    databases = Map.copyOf(databases);
  }

  /** Returns the token of a session that has seen nothing. */
  public static SessionToken empty() {
    return new SessionToken(Map.of());
  }

  /**
   * Reads the text form; an empty text is the empty token.
   *
   * @throws InvalidSessionTokenException when the text is not a token
   */
  public static SessionToken decode(String text) throws InvalidSessionTokenException {
    if (text == null || text.isEmpty()) {
      return empty();
    }
    if (text.length() > MAXIMUM_LENGTH) {
      throw new InvalidSessionTokenException("longer than " + MAXIMUM_LENGTH + " characters");
    }
    try {
      SessionTokenMessage message = SessionTokenMessage.parseFrom(ENCODING.decode(text));
      Map<String, SessionView> views = new HashMap<>();
      message.getPositionsMap().forEach((name, view) -> views.put(name, ofMessage(view)));
      return new SessionToken(views);
    } catch (IllegalArgumentException | InvalidProtocolBufferException e) {
      throw new InvalidSessionTokenException("not a session token");
    }
  }

  /** Returns the text form. */
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

  /** Returns what the session has seen of a database. */
  public SessionView viewOf(String database) {
    return databases.getOrDefault(database, SessionView.NOTHING);
  }

  /** Tells whether the session carries a view of the database. */
  public boolean knows(String database) {
    return databases.containsKey(database);
  }

  /** Returns a token with the given view of one database. */
  public SessionToken with(String database, SessionView view) {
    Map<String, SessionView> changed = new HashMap<>(databases);
    changed.put(database, view);
    return new SessionToken(changed);
  }

  /** Returns a token that has also seen the given position. */
  public SessionToken advance(String database, Position position) {
    return with(database, viewOf(database).advance(position));
  }

  private static SessionView ofMessage(SessionPositionMessage view) {
    return new SessionView(new Position(view.getTerm(), view.getIndex()), view.getUncertainTerm());
  }
}
