package org.toucanmast.runtime.gateway;

import io.vertx.core.buffer.Buffer;
import java.util.List;
import org.toucanmast.core.statement.EndpointCommand;
import org.toucanmast.core.statement.EndpointReply;
import org.toucanmast.runtime.port.EndpointDialect;
import org.toucanmast.runtime.port.EndpointStatus;

/** A dialect that encodes every command as no bytes and decodes no replies. */
final class NoOpDialect implements EndpointDialect {
  @Override
  public Decoder decoder() {
    return bytes -> List.of();
  }

  @Override
  public Buffer encode(EndpointCommand command) {
    return Buffer.buffer();
  }

  @Override
  public EndpointStatus status(EndpointReply reply) {
    throw new UnsupportedOperationException();
  }
}
