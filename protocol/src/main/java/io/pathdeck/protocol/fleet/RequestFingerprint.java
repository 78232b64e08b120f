package io.pathdeck.protocol.fleet;

/**
 * Names what a caller sends again when it repeats a request: tenant, method, host, path with query,
 * and body. The id of a request differs from try to try, this does not.
 *
 * @param outline a cheap hash of method, path and length of the body: where it differs, the digest
 *     need not be computed
 * @param digest 128 bits of a SHA-256, in hexadecimal
 */
public record RequestFingerprint(int outline, String digest) {
  private static final int SHORT_LENGTH = 12;

  /** The beginning of the digest, for log lines. */
  public String shortForm() {
    return digest.substring(0, Math.min(SHORT_LENGTH, digest.length()));
  }
}
