package org.toucanmast.runtime.port;

import org.toucanmast.core.statement.ResultCode;

/** A peer sent bytes that are no message of its protocol. */
public final class DialectException extends Exception {
  private static final long serialVersionUID = 1L;

  private final ResultCode code;

  /** Creates an error about bytes that cannot be understood. */
  public DialectException(String message) {
    this(ResultCode.MALFORMED, message);
  }

  private DialectException(ResultCode code, String message) {
    super(message);
    this.code = code;
  }

  /** Creates an error about a message that is longer than allowed. */
  public static DialectException tooLong(int longest) {
    return new DialectException(ResultCode.TOO_BIG, "a line is longer than " + longest + " bytes");
  }

  /** Returns what the peer is told. */
  public ResultCode code() {
    return code;
  }
}
