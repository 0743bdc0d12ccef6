package org.toucanmast.core.gateway;

import java.util.HashMap;
import java.util.Map;
import org.toucanmast.core.statement.PreparedShape;

/**
 * The statements that are prepared on one connection to an endpoint, and the names that they have
 * there.
 *
 * <p>A name is a number and has nothing of the statement in it, so that no shape can make it mean
 * another one. A name is never given out twice on a connection: a statement whose preparation
 * failed is unknown to the endpoint instead of another one.
 *
 * <p>Answers the load of callers that prepare ever more statements: their total length is limited.
 */
public final class ConnectionStatements {
  /** Maximum length of a name, in characters. */
  public static final int MAXIMUM_NAME_LENGTH = 14;

  /** Total length of the shapes above which a connection does not keep them, in characters. */
  private static final int MAXIMUM_KEPT_LENGTH = 256 * 1024;

  private static final int MAXIMUM_KEPT_STATEMENTS = 1_000;

  private final Map<PreparedShape, String> names = new HashMap<>();
  private long nextNumber;
  private long length;

  /** Returns whether the statement is prepared on the connection. */
  public boolean contains(PreparedShape statement) {
    return names.containsKey(statement);
  }

  /**
   * Returns the name of a prepared statement.
   *
   * @throws IllegalArgumentException if it is not prepared on the connection
   */
  public String name(PreparedShape statement) {
    String name = names.get(statement);
    if (name == null) {
      throw new IllegalArgumentException("not prepared on the connection: " + statement);
    }
    return name;
  }

  /** Adds a statement that is about to be prepared; returns its name. */
  public String add(PreparedShape statement) {
    String name = "s" + Long.toString(nextNumber, Character.MAX_RADIX);
    nextNumber++;
    names.put(statement, name);
    length += statement.shape().length();
    return name;
  }

  /** Forgets all statements, which the endpoint has dropped. Their names are not used again. */
  public void clear() {
    names.clear();
    length = 0;
  }

  /** Returns whether the statements are too many or too long to be kept. */
  public boolean isTooLarge() {
    return length > MAXIMUM_KEPT_LENGTH || names.size() > MAXIMUM_KEPT_STATEMENTS;
  }
}
