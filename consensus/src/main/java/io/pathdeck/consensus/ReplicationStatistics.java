package io.pathdeck.consensus;

/**
 * What a replica has sent as leader since its process began.
 *
 * @param entryBytesSent the bytes of entries sent to members, each copy counted
 * @param entryBytesResent those of them that had been sent to the same member before
 */
public record ReplicationStatistics(long entryBytesSent, long entryBytesResent) {
  /** Nothing was sent. */
  public static final ReplicationStatistics NONE = new ReplicationStatistics(0, 0);

  ReplicationStatistics plus(long sent, long sentAgain) {
    return new ReplicationStatistics(entryBytesSent + sent, entryBytesResent + sentAgain);
  }
}
