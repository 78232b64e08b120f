package io.pathdeck.fleet.load;

import java.util.Map;

/**
 * Decides when a process sends its in-flight call counts, and to whom; confined to one thread.
 *
 * <p>In load peaks, the last free slots of a zone's engines are taken within tens of milliseconds,
 * so the start of a call is sent at once. Ends can wait: a free slot that peers do not know of
 * costs less than two requests sent to the same slot. A token bucket bounds the cost: all active
 * peers together send a process about {@value #MAX_RECEIVED_PER_S} datagrams per second, however
 * many they are.
 */
final class SendSchedule {
  static final long MIN_INTERVAL_MS = 50;

  /**
   * Upper bound of the interval at which unchanged counts are resent, unless the send interval
   * itself is longer.
   */
  static final long MAX_REFRESH_MS = 200;

  /**
   * How often inactive peers are included; otherwise neither of two inactive peers would start
   * sending.
   */
  static final long HELLO_INTERVAL_MS = 1_000;

  /** How often a process without calls and active peers checks whether that has changed. */
  static final long IDLE_INTERVAL_MS = 200;

  /** Capacity of the token bucket. */
  static final int BURST = 4;

  private static final int MAX_RECEIVED_PER_S = 200;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int REFRESH_INTERVALS = 2;

  enum Recipients {
    NONE,
    ACTIVE,
    ALL
  }

  private Map<Long, Integer> lastSentCalls = Map.of();
  private long lastSendMs = Long.MIN_VALUE / 2;
  private long lastHelloMs = Long.MIN_VALUE / 2;
  private double tokens = BURST;
  private long lastRefillMs;

  /** Returns the time in which one token accrues with {@code activePeers} peers. */
  private static double msPerToken(int activePeers) {
    return Math.max(1, activePeers) * MILLIS_PER_SECOND / MAX_RECEIVED_PER_S;
  }

  /** Returns the time between checks for ended calls and for changes that the bucket delayed. */
  static long intervalMs(int activePeers) {
    return Math.max(MIN_INTERVAL_MS, Math.round(msPerToken(activePeers)));
  }

  private static long refreshMs(int activePeers) {
    long intervalMs = intervalMs(activePeers);
    return Math.max(intervalMs, Math.min(MAX_REFRESH_MS, REFRESH_INTERVALS * intervalMs));
  }

  /**
   * Returns how long counts are valid: two consecutive datagrams may be lost while the third is in
   * transit.
   */
  static int ttlMs(int activePeers) {
    long ttlMs = 2 * refreshMs(activePeers) + intervalMs(activePeers);
    return (int) Math.min(LoadDatagram.MAX_TTL_MS, ttlMs);
  }

  /**
   * Returns the recipients of {@code calls} after a call has started; the caller must then send
   * them.
   */
  Recipients onCallStart(Map<Long, Integer> calls, int activePeers, long nowMs) {
    refill(activePeers, nowMs);
    return tokens >= 1 ? recordSend(calls, nowMs) : Recipients.NONE;
  }

  /** Returns the recipients of {@code calls} at an interval; the caller must then send them. */
  Recipients onInterval(Map<Long, Integer> calls, int activePeers, long nowMs) {
    refill(activePeers, nowMs);
    long sinceMs = nowMs - lastSendMs;
    boolean changed = !calls.equals(lastSentCalls) && sinceMs >= intervalMs(activePeers);
    boolean refresh = !calls.isEmpty() && sinceMs >= refreshMs(activePeers);
    return changed || refresh ? recordSend(calls, nowMs) : Recipients.NONE;
  }

  private void refill(int activePeers, long nowMs) {
    double earned = (nowMs - lastRefillMs) / msPerToken(activePeers);
    tokens = Math.min(BURST, tokens + earned);
    lastRefillMs = nowMs;
  }

  private Recipients recordSend(Map<Long, Integer> calls, long nowMs) {
    tokens = Math.max(0, tokens - 1);
    lastSentCalls = Map.copyOf(calls);
    lastSendMs = nowMs;
    if (nowMs - lastHelloMs < HELLO_INTERVAL_MS) {
      return Recipients.ACTIVE;
    }
    lastHelloMs = nowMs;
    return Recipients.ALL;
  }
}
