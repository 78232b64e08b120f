package io.pathdeck.consensus;

/** What a leader knows about one other member. */
final class FollowerProgress {
  final long incarnation;
  long nextIndex;
  long matchIndex;

  /** From where to send again when sent entries are not acknowledged in time. */
  long resendFrom;

  /** The highest index that was sent to the member in this term. */
  long highestSentIndex;

  /** What may be on its way to the member. */
  final CongestionWindow window;

  /** When entries were sent last, or acknowledged if that is later. */
  long lastAppendProgressMs;

  /** How long to wait for progress before sending again; doubles while there is none. */
  long retransmitMs;

  /** When the leader last went back to send entries again. */
  long rewoundAtMs;

  /** The send time of the newest heartbeat or append that the member answered. */
  long lastAcknowledgedSendMs;

  /** The offset of the snapshot part to send next, or -1 when no snapshot is being sent. */
  long snapshotOffset = -1;

  long snapshotIndex;
  long lastSnapshotSentMs;

  FollowerProgress(long incarnation, long nextIndex, RaftSettings settings, long nowMs) {
    this.incarnation = incarnation;
    this.nextIndex = nextIndex;
    this.resendFrom = nextIndex;
    this.retransmitMs = settings.retransmitMs();
    this.window = new CongestionWindow(settings.maxInFlightAppends());
    this.lastAcknowledgedSendMs = nowMs;
  }

  boolean isSendingSnapshot() {
    return snapshotOffset >= 0;
  }
}
