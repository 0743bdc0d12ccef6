package org.toucanmast.standin.fleet;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;

/**
 * The certificate authority of one fleet, which issues a certificate for each VM.
 *
 * <p>For experiments and tests only: the private keys are written as plain text.
 */
public final class FleetCertificates {
  private static final Duration VALIDITY = Duration.ofDays(30);
  private final Path directory;
  private final X509Bundle authority;

  private FleetCertificates(Path directory, X509Bundle authority) {
    this.directory = directory;
    this.authority = authority;
  }

  /**
   * Creates an authority, and writes its certificate to {@code authority.pem} in the directory.
   *
   * @throws IOException if the certificate cannot be created or written
   */
  public static FleetCertificates create(Path directory) throws IOException {
    try {
      X509Bundle authority =
          builder("CN=fleet authority").setIsCertificateAuthority(true).buildSelfSigned();
      Files.writeString(directory.resolve("authority.pem"), authority.getCertificatePEM());
      return new FleetCertificates(directory, authority);
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("the certificate authority cannot be created: " + e.getMessage(), e);
    }
  }

  /**
   * Issues the certificate of a VM, valid for 30 days, and writes it to {@code VM.pem} and its
   * private key to {@code VM.key}.
   *
   * @throws IOException if the certificate cannot be created or written
   */
  public void issue(String vm) throws IOException {
    try {
      X509Bundle bundle = builder("CN=" + vm).buildIssuedBy(authority);
      Files.writeString(directory.resolve(vm + ".pem"), bundle.getCertificatePathPEM());
      Files.writeString(directory.resolve(vm + ".key"), bundle.getPrivateKeyPEM());
    } catch (IOException e) {
      throw e;
    } catch (Exception e) {
      throw new IOException("the certificate of " + vm + " cannot be issued", e);
    }
  }

  private static CertificateBuilder builder(String subject) {
    return new CertificateBuilder()
        .subject(subject)
        .notBefore(Instant.now().minus(Duration.ofHours(1)))
        .notAfter(Instant.now().plus(VALIDITY))
        .ecp256();
  }
}
