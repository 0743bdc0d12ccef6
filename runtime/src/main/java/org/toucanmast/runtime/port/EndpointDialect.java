package org.toucanmast.runtime.port;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;

/** Encoder and decoder of the line protocol of endpoints. */
public interface EndpointDialect {

  /** Decodes the bytes of one connection into replies. */
  interface Decoder {
    /**
     * Adds received bytes and returns the replies that are complete.
     *
     * @throws DialectException if the bytes violate the protocol; the connection must be closed
     */
    List<EndpointReply> feed(Buffer bytes) throws DialectException;
  }

  /** Returns a decoder for a new connection. */
  Decoder decoder();

  /**
   * Encodes a command.
   *
   * @throws DialectException if the endpoint would read another command, or none
   */
  Buffer encode(EndpointCommand command) throws DialectException;

  /**
   * Parses the reply to a status command.
   *
   * @throws DialectException if the reply contains no valid status
   */
  EndpointStatus status(EndpointReply reply) throws DialectException;
}
