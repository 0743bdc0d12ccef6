package org.toucanmast.runtime.peer;

/** Thrown when the listener for peers cannot be set up. */
public final class PeerException extends Exception {

  /** Creates the error from the failed step and its cause. */
  public PeerException(String step, Throwable cause) {
    super(step + ": " + cause.getMessage(), cause);
  }
}
