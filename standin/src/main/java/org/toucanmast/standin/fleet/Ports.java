package org.toucanmast.standin.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/** Finds ports on the loopback address that nothing listens on. */
final class Ports {
  private Ports() {}

  /** Returns addresses with different free ports. */
  static List<String> addresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> addresses = new ArrayList<>();
    try {
      for (int index = 0; index < count; index++) {
        ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        sockets.add(socket);
        addresses.add("127.0.0.1:" + socket.getLocalPort());
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return addresses;
  }
}
