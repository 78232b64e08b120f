package io.pathdeck.fleet.load;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * What one process tells others of its calls under way, whole in one datagram: a lost one costs
 * nothing once the next has come.
 *
 * @param sender a hash of the process's name
 * @param incarnation tells the lives of that process apart
 * @param sequence grows with each datagram of a life
 * @param ttlMs how long the counts hold when no newer datagram comes
 * @param calls the calls under way by the hash of the engine's life; only engines that have some
 */
record LoadDatagram(
    long sender, long incarnation, long sequence, int ttlMs, Map<Long, Integer> calls) {
  /** The most engines that a datagram tells of, so that it fits a packet of any usual network. */
  static final int MAX_ENGINES = 100;

  /** The longest time for which a receiver keeps the counts of a silent peer. */
  static final int MAX_TTL_MS = 5_000;

  static final int MAX_CALLS = 0xFFFF;
  private static final int HEADER_BYTES = 30;
  private static final int ENTRY_BYTES = Long.BYTES + Short.BYTES;
  static final int MAX_BYTES = HEADER_BYTES + MAX_ENGINES * ENTRY_BYTES;

  private static final short MAGIC = (short) 0xB10D;
  private static final byte VERSION = 1;

  LoadDatagram {
    if (calls.size() > MAX_ENGINES) {
      throw new IllegalArgumentException(calls.size() + " engines do not fit a datagram");
    }
    calls = Map.copyOf(calls);
  }

  /** The datagram's bytes. */
  byte[] encode() {
    ByteBuffer bytes = ByteBuffer.allocate(HEADER_BYTES + calls.size() * ENTRY_BYTES);
    bytes.putShort(MAGIC);
    bytes.put(VERSION);
    bytes.put((byte) calls.size());
    bytes.putLong(sender);
    bytes.putLong(incarnation);
    bytes.putLong(sequence);
    bytes.putShort((short) ttlMs);
    calls.forEach((engine, count) -> bytes.putLong(engine).putShort(count.shortValue()));
    return bytes.array();
  }

  /** Reads a datagram; empty when the bytes are none of this version. */
  static Optional<LoadDatagram> decode(ByteBuffer bytes) {
    boolean ours =
        bytes.remaining() >= HEADER_BYTES && bytes.getShort() == MAGIC && bytes.get() == VERSION;
    if (!ours) {
      return Optional.empty();
    }
    int engines = Byte.toUnsignedInt(bytes.get());
    long sender = bytes.getLong();
    long life = bytes.getLong();
    long sequence = bytes.getLong();
    int holdMs = Short.toUnsignedInt(bytes.getShort());
    boolean bounded = engines <= MAX_ENGINES && holdMs <= MAX_TTL_MS;
    if (!bounded || bytes.remaining() != engines * ENTRY_BYTES) {
      return Optional.empty();
    }
    return readCalls(bytes, engines)
        .map(calls -> new LoadDatagram(sender, life, sequence, holdMs, calls));
  }

  private static Optional<Map<Long, Integer>> readCalls(ByteBuffer bytes, int engines) {
    Map<Long, Integer> calls = new HashMap<>();
    for (int i = 0; i < engines; i++) {
      long engine = bytes.getLong();
      int count = Short.toUnsignedInt(bytes.getShort());
      boolean twice = calls.put(engine, count) != null;
      if (twice || count == 0) {
        return Optional.empty();
      }
    }
    return Optional.of(calls);
  }
}
