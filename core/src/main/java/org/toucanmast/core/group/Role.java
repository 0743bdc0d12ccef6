package org.toucanmast.core.group;

/** What an endpoint does in its group. */
public enum Role {
  /** Accepts writes in its term. */
  PRIMARY,
  /** Follows the primary. */
  REPLICA
}
