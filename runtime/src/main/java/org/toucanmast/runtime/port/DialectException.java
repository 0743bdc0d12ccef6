package org.toucanmast.runtime.port;

import org.toucanmast.core.statement.ResultCode;

/** Thrown if a caller or an endpoint sent bytes that violate its protocol. */
public final class DialectException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  /** Creates an exception for bytes that cannot be decoded. */
  public DialectException(String message) {
    this(ResultCode.MALFORMED, message);
  }

  private DialectException(ResultCode code, String message) {
    super(message);
    this.code = code;
  }

  /** Creates an exception for a line that is longer than the given maximum. */
  public static DialectException tooLong(int maximumBytes) {
    return new DialectException(
        ResultCode.TOO_BIG, "a line is longer than " + maximumBytes + " bytes");
  }

  /** Returns the result code that is reported to the sender. */
  public ResultCode code() {
    return code;
  }
}
