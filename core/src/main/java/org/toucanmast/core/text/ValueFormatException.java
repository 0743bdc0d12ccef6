package org.toucanmast.core.text;

/** Thrown when a single value does not have the expected format. */
public final class ValueFormatException extends Exception {

  /** Creates an exception with a description of the expected format and the actual text. */
  public ValueFormatException(String expected, String actual) {
    super("expected " + expected + " but found '" + actual + "'");
  }
}
