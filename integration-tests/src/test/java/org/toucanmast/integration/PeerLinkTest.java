package org.toucanmast.integration;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.common.net.HostAndPort;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import java.io.DataOutputStream;
import java.io.File;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.TempDir;
import org.toucanmast.schema.PeerHello;
import org.toucanmast.schema.PeerMessage;
import org.toucanmast.standin.fleet.Fleet;
import org.toucanmast.standin.fleet.FleetCertificates;

@ExtendWith(SharedFleet.class)
class PeerLinkTest {

  @TempDir private Path directory;

  private static HostAndPort listener() {
    return HostAndPort.fromString(SharedFleet.fleet().vms().get("vm-1").peerAddress());
  }

  private static long refusedLinks() throws IOException {
    String metrics =
        SharedFleet.fleet().control().metrics(SharedFleet.fleet().vms().get("vm-1").adminAddress());
    return metrics
        .lines()
        .filter(line -> line.startsWith("peer_links_refused_total "))
        .mapToLong(line -> (long) Double.parseDouble(line.split(" ")[1]))
        .findFirst()
        .orElseThrow();
  }

  private static void assertRefusedAfter(long before) throws IOException {
    Fleet.waitFor(
        () -> {
          try {
            return refusedLinks() > before;
          } catch (IOException e) {
            return false;
          }
        },
        "the link to be refused and counted");
  }

  private SSLSocket connect(Path certificates, String name) throws Exception {
    SslContext netty =
        SslContextBuilder.forClient()
            .keyManager(
                new File(certificates + "/" + name + ".pem"),
                new File(certificates + "/" + name + ".key"))
            .trustManager(new File(SharedFleet.fleet().directory() + "/authority.pem"))
            .build();
    SSLContext context = ((JdkSslContext) netty).context();
    SSLSocket socket =
        (SSLSocket)
            context.getSocketFactory().createSocket(listener().getHost(), listener().getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(SSLSocket socket, byte[] frame, int length) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(length);
    out.write(frame);
    out.flush();
  }

  private static byte[] hello(String vm) {
    return PeerMessage.newBuilder()
        .setHello(PeerHello.newBuilder().setVm(vm).setDataCentre("east").setIncarnation(1))
        .build()
        .toByteArray();
  }

  @Test
  void should_close_a_link_without_tls() throws IOException {
    long before = refusedLinks();
    try (Socket socket = new Socket(listener().getHost(), listener().getPort())) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
      socket.getOutputStream().flush();
      assertRefusedAfter(before);
    }
  }

  @Test
  void should_close_a_link_of_a_foreign_authority() throws Exception {
    FleetCertificates.create(directory).issue("vm-2");
    long before = refusedLinks();

    try (SSLSocket socket = connect(directory, "vm-2")) {
      send(socket, hello("vm-2"), hello("vm-2").length);
      assertRefusedAfter(before);
    } catch (IOException e) {
      assertRefusedAfter(before);
    }
  }

  @Test
  void should_close_a_link_whose_name_is_not_its_certificate() throws Exception {
    long before = refusedLinks();

    try (SSLSocket socket = connect(SharedFleet.fleet().directory(), "vm-2")) {
      send(socket, hello("vm-3"), hello("vm-3").length);
      assertRefusedAfter(before);
    }
  }

  @Test
  void should_close_a_link_with_an_oversized_frame() throws Exception {
    long before = refusedLinks();

    try (SSLSocket socket = connect(SharedFleet.fleet().directory(), "vm-2")) {
      send(socket, new byte[16], Integer.MAX_VALUE);
      assertRefusedAfter(before);
    }
  }

  @Test
  void should_close_a_link_with_a_malformed_message() throws Exception {
    long before = refusedLinks();

    try (SSLSocket socket = connect(SharedFleet.fleet().directory(), "vm-2")) {
      send(socket, new byte[] {(byte) 0xff, 1, 2, 3}, 4);
      assertRefusedAfter(before);
    }
  }

  @Test
  void should_show_certificates_to_nobody() throws IOException {
    assertThat(Files.readString(SharedFleet.fleet().directory().resolve("vm-1.log")))
        .doesNotContain("PRIVATE KEY");
  }
}
