package org.toucanmast.standin.fleet;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

/** An authority for one fleet, and a certificate for each VM; for experiments, not for service. */
public final class FleetCertificates {
  private static final Duration LIFE = Duration.ofDays(30);
  private final Path directory;
  private final X509Bundle authority;

  private FleetCertificates(Path directory, X509Bundle authority) {
    this.directory = directory;
    this.authority = authority;
  }

  /** Makes an authority whose files stand in the directory. */
  public static FleetCertificates create(Path directory) throws IOException {
    try {
      X509Bundle authority =
          builder("CN=fleet authority").setIsCertificateAuthority(true).buildSelfSigned();
      Files.writeString(directory.resolve("authority.pem"), authority.getCertificatePEM());
      return new FleetCertificates(directory, authority);
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("the authority cannot be made: " + e.getMessage(), e);
    }
  }

  /** Makes the certificate of a VM. */
  public void issue(String vm) throws IOException {
    try {
      X509Bundle bundle = builder("CN=" + vm).buildIssuedBy(authority);
      Files.writeString(directory.resolve(vm + ".pem"), bundle.getCertificatePathPEM());
      Files.writeString(directory.resolve(vm + ".key"), bundle.getPrivateKeyPEM());
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("the certificate of " + vm + " cannot be made", e);
    }
  }

  private static CertificateBuilder builder(String subject) {
    return new CertificateBuilder()
        .subject(subject)
        .notBefore(Instant.now().minus(Duration.ofHours(1)))
        .notAfter(Instant.now().plus(LIFE))
        .ecp256();
  }
}
