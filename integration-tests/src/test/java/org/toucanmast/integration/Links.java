package org.toucanmast.integration;

import com.google.common.net.HostAndPort;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import org.netcrusher.core.reactor.NioReactor;
import org.netcrusher.tcp.TcpCrusher;
import org.netcrusher.tcp.TcpCrusherBuilder;
import org.toucanmast.standin.fleet.Fleet;

/** Fault-injecting proxies on the links of a fleet: to endpoints, to the platform, to peers. */
final class Links implements Fleet.AddressRewriter, AutoCloseable {
  private static final int FIRST_PORT = 14_000;
  private static final int PORTS_PER_PROCESS = 190;
  private static int nextPort =
      FIRST_PORT + (int) (ProcessHandle.current().pid() % 20) * PORTS_PER_PROCESS;

  private final NioReactor reactor;
  private final Map<String, TcpCrusher> crushers = new LinkedHashMap<>();

  Links() throws IOException {
    reactor = new NioReactor();
  }

  @Override
  public String rewrite(String name, String address) {
    TcpCrusher crusher = crushers.get(name);
    if (crusher == null) {
      crusher = open(HostAndPort.fromString(address));
      crushers.put(name, crusher);
    }
    return "127.0.0.1:" + crusher.getBindAddress().getPort();
  }

  private TcpCrusher open(HostAndPort target) {
    while (true) {
      nextPort++;
      try {
        TcpCrusher crusher =
            TcpCrusherBuilder.builder()
                .withReactor(reactor)
                .withBindAddress(new InetSocketAddress("127.0.0.1", nextPort))
                .withConnectAddress(new InetSocketAddress(target.getHost(), target.getPort()))
                .buildAndOpen();
        return crusher;
      } catch (RuntimeException e) {
        if (nextPort > FIRST_PORT + 3_000) {
          throw e;
        }
      }
    }
  }

  /** Stops all bytes of a link without closing its connections. */
  void freeze(String name) {
    crushers.get(name).freeze();
  }

  /** Lets the bytes of a frozen link go on. */
  void unfreeze(String name) {
    crushers.get(name).unfreeze();
  }

  /** Closes the connections of a link; new ones can be opened. */
  void reset(String name) {
    crushers.get(name).closeAllPairs();
  }

  @Override
  public void close() {
    crushers.values().forEach(TcpCrusher::close);
    reactor.close();
  }
}
