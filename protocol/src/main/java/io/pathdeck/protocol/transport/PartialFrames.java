package io.pathdeck.protocol.transport;

import io.netty.util.internal.PlatformDependent;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounds the memory of frames that have arrived in part, over all connections. A peer that
 * announces a frame and does not end it would otherwise hold a buffer of the largest frame on each
 * connection. Thread-safe.
 */
final class PartialFrames {
  /** Half of the direct memory: a buffer that grows stands in memory twice. */
  private static final int MEMORY_RATIO = 2;

  /** For one frame of the largest length on a connection that brings the next one, too. */
  private static final long MIN_CAPACITY_BYTES = FrameCodec.MAX_FRAME_LENGTH * 5L / 4;

  /** The frames of all connections of this process. */
  static final PartialFrames SHARED =
      new PartialFrames(
          Math.max(MIN_CAPACITY_BYTES, PlatformDependent.maxDirectMemory() / MEMORY_RATIO));

  /** A connection that holds a frame in part. */
  interface Holder {
    /** Gives the frame up; called on any thread. */
    void evict();
  }

  private final long capacityBytes;

  /** In the order in which the frames began. */
  private final Map<Holder, Integer> heldBytes = new LinkedHashMap<>();

  private long totalBytes;

  PartialFrames(long capacityBytes) {
    this.capacityBytes = capacityBytes;
  }

  /**
   * Sets the memory of a frame, and evicts the oldest frames beyond the capacity: the others are
   * more likely to end.
   *
   * @return whether the holder may keep its own frame
   */
  boolean hold(Holder holder, int bytes) {
    List<Holder> evicted = new ArrayList<>();
    synchronized (this) {
      Integer previous = heldBytes.put(holder, bytes);
      totalBytes += bytes - (previous == null ? 0 : previous);
      Iterator<Map.Entry<Holder, Integer>> oldest = heldBytes.entrySet().iterator();
      while (totalBytes > capacityBytes) {
        Map.Entry<Holder, Integer> frame = oldest.next();
        totalBytes -= frame.getValue();
        evicted.add(frame.getKey());
        oldest.remove();
      }
    }
    boolean kept = !evicted.remove(holder);
    evicted.forEach(Holder::evict);
    return kept;
  }

  /** Records that the frame is whole or given up. */
  synchronized void release(Holder holder) {
    Integer bytes = heldBytes.remove(holder);
    totalBytes -= bytes == null ? 0 : bytes;
  }
}
