package io.pathdeck.protocol.fleet;

import java.util.HexFormat;

/**
 * Names what requests have in common that crash engines: a whole request that comes again, or a
 * part of a prompt that different requests share. Items of batch jobs are named too, to tell apart
 * how many different calls a crash interrupted, but are never a cause of crashes.
 *
 * <p>For a whole request, it covers tenant, method, host, path with query, and body. The id of a
 * request differs from try to try, this does not.
 *
 * @param outline a cheap hash of method, path and length of the body: where it differs, the digest
 *     need not be computed; 0 for a part of a prompt
 * @param digest 128 bits of a SHA-256, in hexadecimal; for a part of a prompt, {@link
 *     #PROMPT_PART}, the service and a 64-bit hash of the part's id; for a batch item, {@link
 *     #BATCH_ITEM} and the 128 bits
 */
public record RequestFingerprint(int outline, String digest) {
  private static final int SHORT_LENGTH = 12;

  /** Begins the digest of a part of a prompt. */
  private static final String PROMPT_PART = "part:";

  /** Begins the digest of an item of a batch job. */
  private static final String BATCH_ITEM = "item:";

  private static final int NO_OUTLINE = 0;

  /** Names a part of a prompt in requests to a service. */
  public static RequestFingerprint ofPromptPart(String service, long idHash) {
    String digest = PROMPT_PART + service + ":" + HexFormat.of().toHexDigits(idHash);
    return new RequestFingerprint(NO_OUTLINE, digest);
  }

  /** Names an item of a batch job that has the content of a request. */
  public static RequestFingerprint ofBatchItem(RequestFingerprint request) {
    return new RequestFingerprint(request.outline(), BATCH_ITEM + request.digest());
  }

  /** Whether this names an item of a batch job. */
  public boolean isBatchItem() {
    return digest.startsWith(BATCH_ITEM);
  }

  /** Whether this names a part of a prompt and not a whole request. */
  public boolean isPromptPart() {
    return digest.startsWith(PROMPT_PART);
  }

  /** Whether both name the same part of prompts, perhaps in requests to different services. */
  public boolean isSamePromptPart(RequestFingerprint other) {
    return isPromptPart() && other.isPromptPart() && partId().equals(other.partId());
  }

  private String partId() {
    return digest.substring(digest.lastIndexOf(':'));
  }

  /** The beginning of a request's or an item's digest, or the part of a prompt; for log lines. */
  public String shortForm() {
    if (isPromptPart()) {
      return digest;
    }
    int length = isBatchItem() ? BATCH_ITEM.length() + SHORT_LENGTH : SHORT_LENGTH;
    return digest.substring(0, Math.min(length, digest.length()));
  }
}
