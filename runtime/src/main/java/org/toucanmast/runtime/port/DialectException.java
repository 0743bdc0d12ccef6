package org.toucanmast.runtime.port;

/** A peer sent bytes that are no message of its protocol. */
public final class DialectException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates the error. */
  public DialectException(String message) {
    super(message);
  }
}
