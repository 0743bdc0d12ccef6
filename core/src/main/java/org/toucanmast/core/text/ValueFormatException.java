package org.toucanmast.core.text;

/** Thrown when a single value does not have the expected format. */
public final class ValueFormatException extends Exception {

  /** Creates the error from what was expected and what was found. */
  public ValueFormatException(String expected, String actual) {
    super("expected " + expected + " but found '" + actual + "'");
  }
}
