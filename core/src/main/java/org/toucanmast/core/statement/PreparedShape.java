package org.toucanmast.core.statement;

/**
 * A prepared statement independent of the name that a session gives it.
 *
 * @param access whether it reads or writes
 * @param shape the pattern of the statement, opaque to the proxy
 */
public record PreparedShape(Access access, String shape) {
  /**
   * Creates a prepared statement.
   *
   * @throws IllegalArgumentException when the access is null, or the shape is null or empty
   */
  public PreparedShape {
    if (access == null || shape == null || shape.isEmpty()) {
      throw new IllegalArgumentException("a prepared statement needs an access and a shape");
    }
  }
}
