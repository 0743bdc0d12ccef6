package org.toucanmast.cli;

/** Exit codes of all commands. */
public final class ExitCodes {
  /** The command succeeded. */
  public static final int OK = 0;

  /** The command failed, for example because the platform or a VM did not answer. */
  public static final int FAILED = 1;

  /** The command line, a file or a value is invalid; nothing was changed. */
  public static final int INVALID = 2;

  /** Another edit changed the configuration concurrently; this command changed nothing. */
  public static final int CONFLICT = 3;

  private ExitCodes() {}
}
