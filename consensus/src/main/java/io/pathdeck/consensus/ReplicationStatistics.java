package io.pathdeck.consensus;

/**
 * The bytes that a replica has sent as leader since its process started.
 *
 * @param entryBytesSent the bytes of entries sent to members, each copy counted
 * @param entryBytesResent the part of them that had been sent to the same member before
 */
public record ReplicationStatistics(long entryBytesSent, long entryBytesResent) {
  /** No bytes sent. */
  public static final ReplicationStatistics NONE = new ReplicationStatistics(0, 0);

  ReplicationStatistics plus(long sent, long resent) {
    return new ReplicationStatistics(entryBytesSent + sent, entryBytesResent + resent);
  }
}
