package io.pathdeck.protocol.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;

/** Salted digests of callers' keys: what processes keep and look up in place of the keys. */
public final class KeyDigest {
  private static final String ALGORITHM = "SHA-256";
  private static final int SALT_BYTES = 16;

  private KeyDigest() {}

  /** A salt for the keys of one configuration. */
  public static byte[] newSalt() {
    byte[] salt = new byte[SALT_BYTES];
    new SecureRandom().nextBytes(salt);
    return salt;
  }

  /** The digest of {@code key} under {@code salt}. */
  public static String of(byte[] salt, String key) {
    try {
      MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
      digest.update(salt);
      digest.update(key.getBytes(StandardCharsets.UTF_8));
      return Base64.getEncoder().withoutPadding().encodeToString(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }
}
