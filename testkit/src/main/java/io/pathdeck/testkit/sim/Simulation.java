package io.pathdeck.testkit.sim;

import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** Virtual time: a queue of actions, run in the order of their times. Everything is one thread. */
final class Simulation {
  private static final long DIGEST_PRIME = 0x100000001b3L;
  private static final long DIGEST_START = 0xcbf29ce484222325L;

  private record Scheduled(long atNs, long sequence, Runnable action)
      implements Comparable<Scheduled> {
    @Override
    public int compareTo(Scheduled other) {
      int byTime = Long.compare(atNs, other.atNs);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private final PriorityQueue<Scheduled> queue = new PriorityQueue<>();
  private final SplittableRandom random;
  private long nowNs = TimeUnit.SECONDS.toNanos(1_000);
  private long nextSequence;
  private long digest = DIGEST_START;

  Simulation(long seed) {
    this.random = new SplittableRandom(seed);
  }

  SplittableRandom random() {
    return random;
  }

  long nowNs() {
    return nowNs;
  }

  long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(nowNs);
  }

  void scheduleNs(long delayNs, Runnable action) {
    queue.add(new Scheduled(nowNs + Math.max(0, delayNs), nextSequence++, action));
  }

  void scheduleMs(long delayMs, Runnable action) {
    scheduleNs(TimeUnit.MILLISECONDS.toNanos(delayMs), action);
  }

  /** Runs an action every {@code intervalMs} until the simulation ends. */
  void every(long intervalMs, Runnable action) {
    scheduleMs(
        intervalMs,
        () -> {
          action.run();
          every(intervalMs, action);
        });
  }

  /** Runs everything that is due up to {@code untilNs}. */
  void runUntil(long untilNs) {
    while (!queue.isEmpty() && queue.peek().atNs() <= untilNs) {
      Scheduled next = queue.poll();
      nowNs = next.atNs();
      next.action().run();
    }
    nowNs = untilNs;
  }

  void runForMs(long durationMs) {
    runUntil(nowNs + TimeUnit.MILLISECONDS.toNanos(durationMs));
  }

  /** True with this probability. */
  boolean chance(double probability) {
    return random.nextDouble() < probability;
  }

  /** A time between the bounds, both included. */
  long between(long least, long most) {
    return random.nextLong(least, most + 1);
  }

  /** Mixes an event into the digest that identifies the run. */
  void trace(Object event) {
    digest = (digest ^ nowNs) * DIGEST_PRIME;
    digest = (digest ^ event.toString().hashCode()) * DIGEST_PRIME;
  }

  long digest() {
    return digest;
  }
}
