package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Passes bytes on to a backend, until its open connections are silenced for good. The backend drops
 * a silent connection after a while, as the protocol's page says; the caller's side stays open.
 */
final class SilencingProxy {
  private static final int BUFFER_IN_BYTES = 16 * 1024;
  private static final int DROPPED_AFTER_IN_MILLISECONDS = 3_000;

  private static final class Connection {
    private final Socket backend;
    private volatile boolean silent;

    private Connection(Socket backend) {
      this.backend = backend;
    }
  }

  private final int target;
  private final ServerSocket listener;
  private final List<Connection> connections = new ArrayList<>();

  SilencingProxy(int target) throws IOException {
    this.target = target;
    this.listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
  }

  int port() {
    return listener.getLocalPort();
  }

  void start() {
    Endpoint.daemon(
        () -> {
          while (true) {
            try {
              connect(listener.accept());
            } catch (IOException e) {
              return;
            }
          }
        });
  }

  private void connect(Socket caller) throws IOException {
    Socket backend = new Socket(InetAddress.getByName("127.0.0.1"), target);
    caller.setTcpNoDelay(true);
    backend.setTcpNoDelay(true);
    Connection connection = new Connection(backend);
    synchronized (connections) {
      connections.add(connection);
    }
    Endpoint.daemon(() -> pass(caller, backend, connection));
    Endpoint.daemon(() -> pass(backend, caller, connection));
  }

  private static void pass(Socket from, Socket to, Connection connection) {
    byte[] buffer = new byte[BUFFER_IN_BYTES];
    try {
      for (int count = from.getInputStream().read(buffer);
          count >= 0;
          count = from.getInputStream().read(buffer)) {
        if (!connection.silent) {
          to.getOutputStream().write(buffer, 0, count);
        }
      }
    } catch (IOException e) {
      // One side has closed the connection.
    }
    if (!connection.silent) {
      close(from);
      close(to);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  /** Lets all open connections go silent without a reset; new ones work. */
  int silence() {
    List<Connection> silenced;
    synchronized (connections) {
      silenced = List.copyOf(connections);
      connections.clear();
    }
    silenced.forEach(connection -> connection.silent = true);
    Endpoint.daemon(() -> drop(silenced));
    return silenced.size();
  }

  private static void drop(List<Connection> silenced) {
    try {
      Thread.sleep(DROPPED_AFTER_IN_MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    silenced.forEach(connection -> close(connection.backend));
  }
}
