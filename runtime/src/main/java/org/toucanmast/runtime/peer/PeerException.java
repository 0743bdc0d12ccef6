package org.toucanmast.runtime.peer;

/** Thrown when the listener for peers cannot be set up. */
public final class PeerException extends Exception {

  /** Creates an exception whose message is the given problem and the message of its cause. */
  public PeerException(String problem, Throwable cause) {
    super(problem + ": " + cause.getMessage(), cause);
  }
}
