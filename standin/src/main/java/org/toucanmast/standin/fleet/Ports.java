package org.toucanmast.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Gives out ports on the loopback address, each one once, below the range from which systems take
 * the ports of outgoing connections. Processes begin at different ports, so that two fleets started
 * at the same time do not meet.
 */
final class Ports {
  private static final int FIRST = 18_000;
  private static final int LAST = 32_000;
  private static final int PROCESS_SLOTS = 20;
  private static final int PORTS_PER_SLOT = (LAST - FIRST) / PROCESS_SLOTS;
  private static final AtomicInteger NEXT =
      new AtomicInteger(
          FIRST + (int) (ProcessHandle.current().pid() % PROCESS_SLOTS) * PORTS_PER_SLOT);

  private Ports() {}

  /** Returns addresses with different ports that nothing listens on. */
  static List<String> addresses(int count) throws IOException {
    List<String> addresses = new ArrayList<>();
    while (addresses.size() < count) {
      int port = NEXT.getAndIncrement();
      if (port > LAST) {
        throw new IOException("no port is left between " + FIRST + " and " + LAST);
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
