package org.toucanmast.cli;

/** Exit codes of all commands. */
public final class ExitCodes {
  /** Done. */
  public static final int OK = 0;

  /** The platform or a VM did not do what was asked. */
  public static final int FAILED = 1;

  /** The command line, a file or a value is wrong; nothing was changed. */
  public static final int INVALID = 2;

  /** Somebody else changed the configuration meanwhile; nothing was changed. */
  public static final int CONFLICT = 3;

  private ExitCodes() {}
}
