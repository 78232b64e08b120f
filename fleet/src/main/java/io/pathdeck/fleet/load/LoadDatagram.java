package io.pathdeck.fleet.load;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A complete report of one process's in-flight calls; the next datagram makes up for a lost one.
 *
 * @param sender a hash of the process's name
 * @param incarnation distinguishes runs of that process
 * @param sequence increases with each datagram of an incarnation
 * @param ttlMs how long the counts are valid without a newer datagram
 * @param calls the in-flight calls by the hash of the engine's incarnation; no zero counts
 */
record LoadDatagram(
    long sender, long incarnation, long sequence, int ttlMs, Map<Long, Integer> calls) {
  /** Keeps a datagram small enough to fit one packet on any usual network. */
  static final int MAX_ENGINES = 100;

  /** Bounds how long a receiver keeps the counts of a silent peer. */
  static final int MAX_TTL_MS = 5_000;

  static final int MAX_CALLS = 0xFFFF;
  private static final int HEADER_BYTES = 30;
  private static final int ENTRY_BYTES = Long.BYTES + Short.BYTES;
  static final int MAX_BYTES = HEADER_BYTES + MAX_ENGINES * ENTRY_BYTES;

  private static final short MAGIC = (short) 0xB10D;
  private static final byte VERSION = 1;

  LoadDatagram {
    if (calls.size() > MAX_ENGINES) {
      throw new IllegalArgumentException(calls.size() + " engines do not fit into one datagram");
    }
    calls = Map.copyOf(calls);
  }

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

  /** Decodes a datagram; empty if the bytes are not a valid one of this version. */
  static Optional<LoadDatagram> decode(ByteBuffer bytes) {
    boolean recognized =
        bytes.remaining() >= HEADER_BYTES && bytes.getShort() == MAGIC && bytes.get() == VERSION;
    if (!recognized) {
      return Optional.empty();
    }
    int engines = Byte.toUnsignedInt(bytes.get());
    long sender = bytes.getLong();
    long incarnation = bytes.getLong();
    long sequence = bytes.getLong();
    int ttlMs = Short.toUnsignedInt(bytes.getShort());
    boolean withinLimits = engines <= MAX_ENGINES && ttlMs <= MAX_TTL_MS;
    if (!withinLimits || bytes.remaining() != engines * ENTRY_BYTES) {
      return Optional.empty();
    }
    return readCalls(bytes, engines)
        .map(calls -> new LoadDatagram(sender, incarnation, sequence, ttlMs, calls));
  }

  private static Optional<Map<Long, Integer>> readCalls(ByteBuffer bytes, int engines) {
    Map<Long, Integer> calls = new HashMap<>();
    for (int i = 0; i < engines; i++) {
      long engine = bytes.getLong();
      int count = Short.toUnsignedInt(bytes.getShort());
      boolean duplicate = calls.put(engine, count) != null;
      if (duplicate || count == 0) {
        return Optional.empty();
      }
    }
    return Optional.of(calls);
  }
}
