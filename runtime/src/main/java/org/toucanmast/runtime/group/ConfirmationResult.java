package org.toucanmast.runtime.group;

/** The result of waiting for a majority of a group to confirm an answer of its primary. */
public enum ConfirmationResult {
  /** A majority of the group confirmed the answer. */
  CONFIRMED,
  /** The primary that answered a read was replaced; the read can be retried. */
  SUPERSEDED,
  /** The deadline passed before the answer was confirmed; its outcome is unknown. */
  EXPIRED
}
