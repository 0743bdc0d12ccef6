package org.toucanmast.runtime.port;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.toucanmast.core.group.Position;
import org.toucanmast.core.statement.ResultCode;
import org.toucanmast.core.statement.TransactionState;

/** Encoder and decoder of the line protocol of callers. */
public interface CallerDialect {

  /** Decodes the bytes of one connection into messages. */
  interface Decoder {
    /**
     * Adds received bytes and returns the messages that are complete.
     *
     * @throws DialectException if the bytes violate the protocol; the connection must be closed
     */
    List<CallerMessage> feed(Buffer bytes) throws DialectException;

    /** Returns whether a part of a message has been received, and its end has not. */
    boolean isInsideMessage();
  }

  /** Returns a decoder for a new connection. */
  Decoder decoder();

  /** Encodes that the session is open and ready for statements. */
  Buffer ready(TransactionState state, Position position);

  /**
   * Encodes the complete answer to a successful statement.
   *
   * @param signature the endpoint's signature; empty if the proxy itself answers
   */
  Buffer success(List<String> rows, String signature, TransactionState state, Position position);

  /** Encodes an error without the session's state, after which the connection is closed. */
  Buffer refusal(ResultCode code, String reason);

  /** Encodes an error after which the session continues. */
  Buffer failure(ResultCode code, String reason, TransactionState state, Position position);
}
