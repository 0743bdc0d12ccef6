package org.toucanmast.runtime.port;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.TransactionState;

/** The protocol of callers. */
public interface CallerDialect {

  /** Takes bytes of one connection and gives whole messages. */
  interface Decoder {
    /**
     * Takes bytes.
     *
     * @throws DialectException when the bytes are no message; the connection cannot go on
     */
    List<CallerMessage> feed(Buffer bytes) throws DialectException;
  }

  /** Returns a decoder for a new connection. */
  Decoder decoder();

  /** Encodes that the session is ready for a statement. */
  Buffer ready(TransactionState state, Position position);

  /**
   * Encodes a whole success.
   *
   * @param signature the endpoint's signature; empty when the proxy answers by itself
   */
  Buffer success(List<String> rows, String signature, TransactionState state, Position position);

  /** Encodes an error without the session's state, as the last message of a connection. */
  Buffer refusal(ResultCode code, String reason);

  /** Encodes an error after which the session goes on. */
  Buffer failure(ResultCode code, String reason, TransactionState state, Position position);
}
