package org.toucanmast.core.statement;

/** The kind of access that a statement makes to data. */
public enum Access {
  /** Only reads data. */
  READ,
  /** Changes data. */
  WRITE
}
