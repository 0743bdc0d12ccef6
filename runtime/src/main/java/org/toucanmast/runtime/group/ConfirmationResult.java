package org.toucanmast.runtime.group;

/** How the waiting for a majority ended. */
public enum ConfirmationResult {
  /** A majority showed that the primary was still the primary. */
  CONFIRMED,
  /** A read's primary has a successor; the read can be sent again. */
  SUPERSEDED,
  /** The deadline passed. */
  EXPIRED
}
