package org.toucanmast.runtime.port;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;

/** The protocol of endpoints. */
public interface EndpointDialect {

  /** Takes bytes of one connection and gives whole replies. */
  interface Decoder {
    /**
     * Takes bytes.
     *
     * @throws DialectException when the bytes are no message; the connection cannot go on
     */
    List<EndpointReply> feed(Buffer bytes) throws DialectException;
  }

  /** Returns a decoder for a new connection. */
  Decoder decoder();

  /** Encodes a command. */
  Buffer encode(EndpointCommand command);

  /**
   * Reads the reply to a status command.
   *
   * @throws DialectException when the reply holds no status
   */
  EndpointStatus status(EndpointReply reply) throws DialectException;
}
