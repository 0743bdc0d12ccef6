package org.toucanmast.core.statement;

/**
 * What a prepared statement does, whatever a session calls it.
 *
 * @param access whether it changes data
 * @param shape the statement's pattern, opaque to the proxy
 */
public record PreparedShape(Access access, String shape) {
  /** Refuses missing parts. */
  public PreparedShape {
    if (access == null || shape == null || shape.isEmpty()) {
      throw new IllegalArgumentException("a prepared statement needs an access and a shape");
    }
  }

  /** Returns the name under which endpoints know the statement; equal shapes share it. */
  public String endpointName() {
    return (access == Access.READ ? "r_" : "w_") + shape;
  }
}
