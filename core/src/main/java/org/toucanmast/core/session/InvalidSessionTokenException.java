package org.toucanmast.core.session;

/** Thrown when a caller's session token cannot be read. */
public final class InvalidSessionTokenException extends Exception {

  /** Creates the error from what is wrong with the token. */
  public InvalidSessionTokenException(String problem) {
    super("session token: " + problem);
  }
}
