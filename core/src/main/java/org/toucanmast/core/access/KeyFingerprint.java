package org.toucanmast.core.access;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import com.google.common.primitives.Longs;
import java.nio.charset.StandardCharsets;

/**
 * Stands for a key of a session. It has the same length for every key, and VMs pass it on in place
 * of the key.
 *
 * @param high the first 64 bits of the key's SHA-256 hash
 * @param low the next 64 bits
 */
public record KeyFingerprint(long high, long low) {

  /** Returns the fingerprint of a key. */
  public static KeyFingerprint of(String key) {
    HashCode hash = Hashing.sha256().hashString(key, StandardCharsets.UTF_8);
    byte[] bytes = hash.asBytes();
    return new KeyFingerprint(
        Longs.fromByteArray(bytes),
        Longs.fromBytes(
            bytes[8], bytes[9], bytes[10], bytes[11], bytes[12], bytes[13], bytes[14], bytes[15]));
  }
}
