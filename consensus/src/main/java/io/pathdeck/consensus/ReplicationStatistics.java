package io.pathdeck.consensus;

/**
 * The bytes of log entries that a replica has sent as leader since its process started.
 *
 * @param entryBytesSent the bytes of entries sent to all members, including resent ones
 * @param entryBytesResent the bytes of entries sent to the same member again
 */
public record ReplicationStatistics(long entryBytesSent, long entryBytesResent) {
  /** No bytes sent. */
  public static final ReplicationStatistics NONE = new ReplicationStatistics(0, 0);

  ReplicationStatistics plus(long sent, long resent) {
    return new ReplicationStatistics(entryBytesSent + sent, entryBytesResent + resent);
  }
}
