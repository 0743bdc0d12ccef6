package org.toucanmast.cli;

/** Thrown when a command ends without its result; carries the exit code. */
public final class CommandException extends Exception {
  private final int exitCode;

  /** Creates the error from the exit code and one line for the operator. */
  public CommandException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code. */
  public int exitCode() {
    return exitCode;
  }
}
