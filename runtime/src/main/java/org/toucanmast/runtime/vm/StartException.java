package org.toucanmast.runtime.vm;

/** Thrown when a VM cannot start. */
public final class StartException extends Exception {

  /** Creates the error from what could not be set up and its cause. */
  public StartException(String what, Throwable cause) {
    super("cannot set up " + what + ": " + cause.getMessage(), cause);
  }
}
