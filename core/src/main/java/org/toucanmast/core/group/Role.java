package org.toucanmast.core.group;

/** Role of an endpoint in its group. */
public enum Role {
  /** Accepts writes in its term. */
  PRIMARY,
  /** Replicates the primary's log. */
  REPLICA
}
