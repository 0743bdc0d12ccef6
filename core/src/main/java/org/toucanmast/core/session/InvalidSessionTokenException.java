package org.toucanmast.core.session;

/** Thrown when a caller's session token cannot be decoded. */
public final class InvalidSessionTokenException extends Exception {

  /** Creates an exception with a description of the problem, which the caller receives. */
  public InvalidSessionTokenException(String problem) {
    super("session token: " + problem);
  }
}
