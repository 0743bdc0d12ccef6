package org.toucanmast.runtime.peer;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import java.security.cert.Certificate;
import java.security.cert.X509Certificate;
import java.util.Optional;
import javax.naming.InvalidNameException;
import javax.naming.ldap.LdapName;
import javax.naming.ldap.Rdn;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLPeerUnverifiedException;
import javax.net.ssl.SSLSession;
import org.toucanmast.schema.PeerSettings;

/**
 * Mutual TLS between VMs. Both ends present a certificate of the fleet's certificate authority,
 * whose common name must be the VM name in the hello of the peer.
 */
final class PeerSecurity {
  private final SslContext server;
  private final SslContext client;

  private PeerSecurity(SslContext server, SslContext client) {
    this.server = server;
    this.client = client;
  }

  /**
   * Creates the TLS contexts of both ends.
   *
   * @throws PeerException when a certificate or the private key cannot be read
   */
  static PeerSecurity of(PeerSettings settings) throws PeerException {
    File certificate = new File(settings.getCertificateFile());
    File privateKey = new File(settings.getPrivateKeyFile());
    File authority = new File(settings.getAuthorityFile());
    try {
      SslContext server =
          SslContextBuilder.forServer(certificate, privateKey)
              .sslProvider(SslProvider.JDK)
              .trustManager(authority)
              .clientAuth(ClientAuth.REQUIRE)
              .protocols("TLSv1.3")
              .build();
      SslContext client =
          SslContextBuilder.forClient()
              .sslProvider(SslProvider.JDK)
              .keyManager(certificate, privateKey)
              .trustManager(authority)
              .endpointIdentificationAlgorithm(null)
              .protocols("TLSv1.3")
              .build();
      return new PeerSecurity(server, client);
    } catch (SSLException | IllegalArgumentException e) {
      throw new PeerException("cannot read the certificates of [peers]", e);
    }
  }

  SslContext server() {
    return server;
  }

  SslContext client() {
    return client;
  }

  /** Returns the common name of the peer's certificate; empty if it has none. */
  static Optional<String> commonName(SSLSession session) {
    try {
      Certificate[] chain = session.getPeerCertificates();
      String subject = ((X509Certificate) chain[0]).getSubjectX500Principal().getName();
      return new LdapName(subject)
          .getRdns().stream()
              .filter(rdn -> rdn.getType().equalsIgnoreCase("CN"))
              .map(Rdn::getValue)
              .map(Object::toString)
              .findFirst();
    } catch (SSLPeerUnverifiedException | InvalidNameException e) {
      return Optional.empty();
    }
  }
}
