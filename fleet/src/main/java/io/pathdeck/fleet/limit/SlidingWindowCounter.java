package io.pathdeck.fleet.limit;

import java.util.Arrays;

/** Counts events in a sliding time window, with a resolution of 1/50 of the window. */
final class SlidingWindowCounter {
  private static final int BUCKETS = 50;

  private final long bucketMs;

  /** One more than the window spans, so that an event counts for at least a whole window. */
  private final int[] buckets = new int[BUCKETS + 1];

  private long newestBucket = Long.MIN_VALUE;
  private int total;

  SlidingWindowCounter(long windowMs) {
    this.bucketMs = Math.max(1, windowMs / BUCKETS);
  }

  void add(long nowMs) {
    advance(nowMs);
    buckets[index(newestBucket)]++;
    total++;
  }

  int total(long nowMs) {
    advance(nowMs);
    return total;
  }

  private void advance(long nowMs) {
    long bucket = nowMs / bucketMs;
    if (newestBucket == Long.MIN_VALUE || bucket - newestBucket > BUCKETS) {
      Arrays.fill(buckets, 0);
      total = 0;
      newestBucket = bucket;
    }
    while (newestBucket < bucket) {
      newestBucket++;
      total -= buckets[index(newestBucket)];
      buckets[index(newestBucket)] = 0;
    }
  }

  private int index(long bucket) {
    return (int) Math.floorMod(bucket, (long) buckets.length);
  }
}
