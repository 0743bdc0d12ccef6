package review;

import java.util.Map;

/**
 * What a client sent and what its session held at that moment.
 *
 * @param session the session's number; statements of one session share connections only in turn
 * @param transaction the number of the client's transaction, 0 outside one
 * @param text the statement as the client sent it
 * @param shape access and shape of the prepared statement that it executes; empty for others
 * @param arguments what follows the name of the prepared statement; empty for others
 * @param values the values that were acknowledged to the session
 */
record Intent(
    int session,
    long transaction,
    String text,
    String shape,
    String arguments,
    Map<String, String> values) {

  boolean isExecute() {
    return !shape.isEmpty();
  }

  boolean isCommit() {
    return text.equals("COMMIT");
  }
}
