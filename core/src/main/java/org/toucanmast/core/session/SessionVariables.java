package org.toucanmast.core.session;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.toucanmast.core.statement.PreparedShape;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.Statement;

/**
 * The values and the prepared statements of a session, which last until it ends, and the length of
 * the key that it was opened with.
 *
 * <p>Answers the load of a caller that sets and prepares ever more: each session has limits, and
 * all sessions of a VM share a budget.
 */
public final class SessionVariables {
  /**
   * Limit of the names and values, in characters. A value of nearly the maximum length of a
   * message, 1 Mi characters, fits beside some short ones.
   */
  private static final long MAXIMUM_LENGTH_OF_VALUES = (1024 + 64) * 1024;

  /** Limit of the names and shapes of prepared statements, in characters. */
  private static final long MAXIMUM_LENGTH_OF_STATEMENTS = 2 * 1024 * 1024;

  /**
   * What an entry counts besides its texts, in characters. The objects of an entry with empty texts
   * take about 200 bytes.
   */
  static final int ENTRY_LENGTH = 256;

  private final SessionStateBudget budget;
  private final Map<String, String> values = new HashMap<>();
  private final Map<String, PreparedShape> prepared = new HashMap<>();
  private long lengthOfValues;
  private long lengthOfStatements;
  private long lengthOfKey;

  /** Creates the empty state of a session, which shares a budget with the others of its VM. */
  public SessionVariables(SessionStateBudget budget) {
    this.budget = budget;
  }

  /**
   * Counts the key of the session, which is kept although it may be unknown, on open routes: it may
   * become known.
   *
   * @return whether the budget of all sessions allows it
   */
  public boolean keepKey(String key) {
    if (!budget.change(length(), length() + key.length())) {
      return false;
    }
    lengthOfKey = key.length();
    return true;
  }

  /**
   * Applies a statement that sets a value, prepares a statement, or drops a prepared one.
   *
   * @return {@code SUCCESS} if it was applied; {@code TOO_BIG} beyond the limits of a session,
   *     {@code BUSY} beyond the budget of all sessions, {@code NO_STATEMENT} if it names a prepared
   *     statement that does not exist
   * @throws IllegalArgumentException if it is another kind of statement
   */
  public ResultCode apply(Statement statement) {
    if (statement instanceof Statement.SetValue value) {
      return set(value);
    } else if (statement instanceof Statement.Prepare prepare) {
      return prepare(prepare);
    } else if (statement instanceof Statement.Deallocate deallocate) {
      return deallocate(deallocate);
    }
    throw new IllegalArgumentException("expected a statement about the session: " + statement);
  }

  private ResultCode set(Statement.SetValue value) {
    String name = value.name();
    long length = lengthOfValues - lengthOf(name, values.get(name)) + lengthOf(name, value.value());
    if (length > MAXIMUM_LENGTH_OF_VALUES) {
      return ResultCode.TOO_BIG;
    }
    if (!changeLength(length, lengthOfStatements)) {
      return ResultCode.BUSY;
    }
    values.put(name, value.value());
    return ResultCode.SUCCESS;
  }

  private ResultCode prepare(Statement.Prepare prepare) {
    String name = prepare.name();
    long length =
        lengthOfStatements - lengthOfPrepared(name) + lengthOf(name, prepare.shape().shape());
    if (length > MAXIMUM_LENGTH_OF_STATEMENTS) {
      return ResultCode.TOO_BIG;
    }
    if (!changeLength(lengthOfValues, length)) {
      return ResultCode.BUSY;
    }
    prepared.put(name, prepare.shape());
    return ResultCode.SUCCESS;
  }

  private ResultCode deallocate(Statement.Deallocate deallocate) {
    long length = lengthOfStatements - lengthOfPrepared(deallocate.name());
    if (prepared.remove(deallocate.name()) == null) {
      return ResultCode.NO_STATEMENT;
    }
    changeLength(lengthOfValues, length);
    return ResultCode.SUCCESS;
  }

  private boolean changeLength(long newLengthOfValues, long newLengthOfStatements) {
    long after = lengthOfKey + newLengthOfValues + newLengthOfStatements;
    if (!budget.change(length(), after)) {
      return false;
    }
    lengthOfValues = newLengthOfValues;
    lengthOfStatements = newLengthOfStatements;
    return true;
  }

  private long length() {
    return lengthOfKey + lengthOfValues + lengthOfStatements;
  }

  private long lengthOfPrepared(String name) {
    PreparedShape shape = prepared.get(name);
    return lengthOf(name, shape == null ? null : shape.shape());
  }

  /** Returns what an entry counts; nothing if there is no text under its name. */
  private static long lengthOf(String name, String text) {
    return text == null ? 0 : (long) ENTRY_LENGTH + name.length() + text.length();
  }

  /** Returns in words why a statement was not applied. */
  public static String reason(ResultCode code) {
    return switch (code) {
      case NO_STATEMENT -> "no prepared statement of that name";
      case TOO_BIG -> "the values or prepared statements of the session are too long";
      case BUSY -> "the keys, values and prepared statements of all sessions are too long";
      default -> throw new IllegalArgumentException("no reason of a session's state: " + code);
    };
  }

  /** Returns the values by name. */
  public Map<String, String> values() {
    return values;
  }

  /** Returns the prepared statement of a name, if there is one. */
  public Optional<PreparedShape> prepared(String name) {
    return Optional.ofNullable(prepared.get(name));
  }

  /** Drops all values and prepared statements, because the session has ended. */
  public void clear() {
    values.clear();
    prepared.clear();
    budget.change(length(), 0);
    lengthOfKey = 0;
    lengthOfValues = 0;
    lengthOfStatements = 0;
  }
}
