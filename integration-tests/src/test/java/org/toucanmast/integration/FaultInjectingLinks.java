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

/** TCP proxies that inject faults into the links of a fleet to endpoints, platform and peers. */
final class FaultInjectingLinks implements Fleet.AddressRewriter, AutoCloseable {
  private static final int FIRST_PORT = 14_000;
  private static final int PORTS_PER_PROCESS = 190;

  /** The proxy's own sizes take 4 MiB of direct memory for each connection. */
  private static final int BUFFERS_PER_DIRECTION = 8;

  private static final int BUFFER_SIZE_IN_BYTES = 16 * 1024;

  private static int nextPort =
      FIRST_PORT + (int) (ProcessHandle.current().pid() % 20) * PORTS_PER_PROCESS;

  private final NioReactor reactor;
  private final Map<String, TcpCrusher> proxies = new LinkedHashMap<>();

  FaultInjectingLinks() throws IOException {
    reactor = new NioReactor();
  }

  @Override
  public String rewrite(String name, String address) {
    TcpCrusher proxy = proxies.get(name);
    if (proxy == null) {
      proxy = open(HostAndPort.fromString(address));
      proxies.put(name, proxy);
    }
    return "127.0.0.1:" + proxy.getBindAddress().getPort();
  }

  private TcpCrusher open(HostAndPort target) {
    while (true) {
      nextPort++;
      try {
        TcpCrusher proxy =
            TcpCrusherBuilder.builder()
                .withReactor(reactor)
                .withBindAddress(new InetSocketAddress("127.0.0.1", nextPort))
                .withConnectAddress(new InetSocketAddress(target.getHost(), target.getPort()))
                .withBufferCount(BUFFERS_PER_DIRECTION)
                .withBufferSize(BUFFER_SIZE_IN_BYTES)
                .buildAndOpen();
        return proxy;
      } catch (RuntimeException e) {
        if (nextPort > FIRST_PORT + 3_000) {
          throw e;
        }
      }
    }
  }

  /** Stops the transfer of data on a link without closing its connections. */
  void freeze(String name) {
    proxies.get(name).freeze();
  }

  /** Resumes the transfer of data on a frozen link. */
  void unfreeze(String name) {
    proxies.get(name).unfreeze();
  }

  /** Closes the connections of a link; new connections can be opened. */
  void reset(String name) {
    proxies.get(name).closeAllPairs();
  }

  @Override
  public void close() {
    proxies.values().forEach(TcpCrusher::close);
    reactor.close();
  }
}
