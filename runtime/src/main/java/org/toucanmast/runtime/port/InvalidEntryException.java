package org.toucanmast.runtime.port;

/** Thrown if an object of the store does not describe what objects of its kind describe. */
public final class InvalidEntryException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that names the field, the expected and the actual. */
  public InvalidEntryException(String message) {
    super(message);
  }
}
