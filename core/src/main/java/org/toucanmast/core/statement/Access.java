package org.toucanmast.core.statement;

/** Whether a statement changes data. */
public enum Access {
  /** Reads an item. */
  READ,
  /** Changes an item. */
  WRITE
}
