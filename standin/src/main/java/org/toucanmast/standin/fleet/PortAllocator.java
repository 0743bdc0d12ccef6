package org.toucanmast.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports of the loopback address, each once per process.
 *
 * <p>The ports are below the ephemeral range, from which the system takes the ports of outgoing
 * connections. The process id selects the first port, so that fleets of different processes that
 * start at the same time rarely compete for a port.
 */
final class PortAllocator {
  private static final int FIRST_PORT = 18_000;
  private static final int LAST_PORT = 32_000;
  private static final int PORT_RANGES = 20;
  private static final int PORTS_PER_RANGE = (LAST_PORT - FIRST_PORT) / PORT_RANGES;
  private static final AtomicInteger NEXT_PORT =
      new AtomicInteger(
          FIRST_PORT + (int) (ProcessHandle.current().pid() % PORT_RANGES) * PORTS_PER_RANGE);

  private PortAllocator() {}

  /**
   * Returns loopback addresses with distinct ports on which nothing listens.
   *
   * @throws IOException if all ports up to the last one of the range were used
   */
  static List<String> allocate(int count) throws IOException {
    List<String> addresses = new ArrayList<>();
    while (addresses.size() < count) {
      int port = NEXT_PORT.getAndIncrement();
      if (port > LAST_PORT) {
        throw new IOException("no free port between " + FIRST_PORT + " and " + LAST_PORT);
      }
      if (isFree(port)) {
        addresses.add("127.0.0.1:" + port);
      }
    }
    return addresses;
  }

  private static boolean isFree(int port) {
    try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
      return socket.isBound();
    } catch (IOException e) {
      return false;
    }
  }
}
