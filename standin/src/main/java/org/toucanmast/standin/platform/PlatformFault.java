package org.toucanmast.standin.platform;

/** An injected fault of the stand-in platform; it does not affect the control paths. */
public enum PlatformFault {
  /** No fault. */
  NONE,
  /** Closes the connection of every call without executing it. */
  DOWN,
  /** Reads calls, but neither executes nor answers them. */
  SILENT,
  /** Executes and answers calls after the configured delay. */
  SLOW,
  /** Executes writes without answering them. */
  LOST_ANSWERS
}
