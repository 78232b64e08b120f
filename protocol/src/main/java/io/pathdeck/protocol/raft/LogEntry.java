package io.pathdeck.protocol.raft;

/** One entry of a replicated log: a command, a change of membership, or (both null) a no-op. */
public record LogEntry(long index, long term, byte[] command, GroupConfiguration configuration) {
  private static final int OVERHEAD_BYTES = 48;

  /** An approximation of the memory the entry takes. */
  public int sizeBytes() {
    return OVERHEAD_BYTES + (command == null ? 0 : command.length);
  }
}
