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

  private static HostAndPort peerListener() {
    return HostAndPort.fromString(SharedFleet.fleet().vms().get("vm-1").peerAddress());
  }

  private static long refusedLinkCount() throws IOException {
    String metrics =
        SharedFleet.fleet().control().metrics(SharedFleet.fleet().vms().get("vm-1").adminAddress());
    return metrics
        .lines()
        .filter(line -> line.startsWith("peer_links_refused_total "))
        .mapToLong(line -> (long) Double.parseDouble(line.split(" ")[1]))
        .findFirst()
        .orElseThrow();
  }

  private static void assertLinkRefusedSince(long refusedBefore) throws IOException {
    Fleet.waitFor(
        () -> {
          try {
            return refusedLinkCount() > refusedBefore;
          } catch (IOException e) {
            return false;
          }
        },
        "the link to be refused and counted");
  }

  private SSLSocket connect(Path certificates, String name) throws Exception {
    SslContext nettyContext =
        SslContextBuilder.forClient()
            .keyManager(
                new File(certificates + "/" + name + ".pem"),
                new File(certificates + "/" + name + ".key"))
            .trustManager(new File(SharedFleet.fleet().directory() + "/authority.pem"))
            .build();
    SSLContext context = ((JdkSslContext) nettyContext).context();
    SSLSocket socket =
        (SSLSocket)
            context
                .getSocketFactory()
                .createSocket(peerListener().getHost(), peerListener().getPort());
    socket.setSoTimeout(10_000);
    return socket;
  }

  private static void send(SSLSocket socket, byte[] frame, int length) throws IOException {
    DataOutputStream out = new DataOutputStream(socket.getOutputStream());
    out.writeInt(length);
    out.write(frame);
    out.flush();
  }

  private static byte[] helloMessage(String vm) {
    return PeerMessage.newBuilder()
        .setHello(PeerHello.newBuilder().setVm(vm).setDataCentre("east").setIncarnation(1))
        .build()
        .toByteArray();
  }

  @Test
  void should_close_a_link_without_tls() throws IOException {
    long refusedBefore = refusedLinkCount();
    try (Socket socket = new Socket(peerListener().getHost(), peerListener().getPort())) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes());
      socket.getOutputStream().flush();
      assertLinkRefusedSince(refusedBefore);
    }
  }

  @Test
  void should_close_a_link_with_a_certificate_of_another_authority() throws Exception {
    FleetCertificates.create(directory).issue("vm-2");
    long refusedBefore = refusedLinkCount();

    try (SSLSocket socket = connect(directory, "vm-2")) {
      send(socket, helloMessage("vm-2"), helloMessage("vm-2").length);
      assertLinkRefusedSince(refusedBefore);
    } catch (IOException e) {
      assertLinkRefusedSince(refusedBefore);
    }
  }

  @Test
  void should_close_a_link_whose_vm_name_does_not_match_its_certificate() throws Exception {
    long refusedBefore = refusedLinkCount();

    try (SSLSocket socket = connect(SharedFleet.fleet().directory(), "vm-2")) {
      send(socket, helloMessage("vm-3"), helloMessage("vm-3").length);
      assertLinkRefusedSince(refusedBefore);
    }
  }

  @Test
  void should_close_a_link_with_an_oversized_frame() throws Exception {
    long refusedBefore = refusedLinkCount();

    try (SSLSocket socket = connect(SharedFleet.fleet().directory(), "vm-2")) {
      send(socket, new byte[16], Integer.MAX_VALUE);
      assertLinkRefusedSince(refusedBefore);
    }
  }

  @Test
  void should_close_a_link_with_a_malformed_message() throws Exception {
    long refusedBefore = refusedLinkCount();

    try (SSLSocket socket = connect(SharedFleet.fleet().directory(), "vm-2")) {
      send(socket, new byte[] {(byte) 0xff, 1, 2, 3}, 4);
      assertLinkRefusedSince(refusedBefore);
    }
  }

  @Test
  void should_not_log_private_keys() throws IOException {
    assertThat(Files.readString(SharedFleet.fleet().directory().resolve("vm-1.log")))
        .doesNotContain("PRIVATE KEY");
  }
}
