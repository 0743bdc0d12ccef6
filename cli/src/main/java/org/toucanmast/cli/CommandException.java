package org.toucanmast.cli;

/** Thrown when a command fails; carries the exit code of the process. */
public final class CommandException extends Exception {
  private final int exitCode;

  /**
   * Creates the exception.
   *
   * @param exitCode the exit code of the process, one of {@link ExitCodes}
   * @param message one line that is printed for the operator
   */
  public CommandException(int exitCode, String message) {
    super(message);
    this.exitCode = exitCode;
  }

  /** Returns the exit code of the process. */
  public int exitCode() {
    return exitCode;
  }
}
