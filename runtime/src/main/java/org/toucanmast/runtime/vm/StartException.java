package org.toucanmast.runtime.vm;

/** Thrown when a VM cannot start. */
public final class StartException extends Exception {

  /**
   * Creates an exception.
   *
   * @param component the component that could not be set up
   */
  public StartException(String component, Throwable cause) {
    super("cannot set up " + component + ": " + cause.getMessage(), cause);
  }
}
