package io.pathdeck.consensus;

/** The replication progress of one other member, as known to the leader. */
final class FollowerProgress {
  final long incarnation;
  long nextIndex;
  long matchIndex;

  /** The index to rewind to when sent entries are not acknowledged in time. */
  long resendFromIndex;

  /** The highest index that was sent to the member in this term. */
  long highestSentIndex;

  final CongestionWindow window;

  /** When entries were last sent or acknowledged. */
  long lastAppendProgressMs;

  /** The retransmission timeout; doubles while there is no progress. */
  long retransmitMs;

  /** When the leader last rewound {@link #nextIndex}. */
  long rewoundAtMs;

  /** The send time of the latest message that the member answered. */
  long lastAcknowledgedSendMs;

  /** The offset of the next snapshot chunk, or -1 when no snapshot is being sent. */
  long snapshotOffset = -1;

  long snapshotIndex;
  long lastSnapshotSentMs;

  FollowerProgress(long incarnation, long nextIndex, RaftSettings settings, long nowMs) {
    this.incarnation = incarnation;
    this.nextIndex = nextIndex;
    this.resendFromIndex = nextIndex;
    this.retransmitMs = settings.retransmitMs();
    this.window = new CongestionWindow(settings.maxInFlightAppends());
    this.lastAcknowledgedSendMs = nowMs;
  }

  boolean isSendingSnapshot() {
    return snapshotOffset >= 0;
  }
}
