package org.toucanmast.core.access;

/** What has become of a key since work was begun for the customer that held it. */
public enum KeyStatus {
  /** The customer still holds the key. */
  HELD,
  /** Another customer holds the key; the work may be begun again on that customer's behalf. */
  MOVED,
  /** No customer holds the key. */
  WITHDRAWN
}
