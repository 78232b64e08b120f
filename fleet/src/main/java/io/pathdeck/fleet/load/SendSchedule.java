package io.pathdeck.fleet.load;

import java.util.Map;

/**
 * Decides when a process tells its calls under way, and whom; confined to one thread.
 *
 * <p>It answers crests in which the last free places of a zone's engines are taken within tens of
 * milliseconds, so the start of a call is told at once; ends can wait, since a place that is free
 * without being known costs less than two callers sent to one. A budget bounds what it costs: all
 * active peers together send a process about {@value #MAX_RECEIVED_PER_S} datagrams a second,
 * however many they are.
 */
final class SendSchedule {
  static final long MIN_INTERVAL_MS = 50;

  /** How often unchanged counts are told again, so that a peer's silence means something. */
  static final long REFRESH_MS = 200;

  /** How often peers that have sent nothing are told too: neither of two would begin otherwise. */
  static final long HELLO_INTERVAL_MS = 1_000;

  /** How often a process without calls and active peers looks whether that has changed. */
  static final long IDLE_INTERVAL_MS = 200;

  /** How many datagrams a process may send at once that it has not sent before. */
  static final int BURST = 4;

  private static final int MAX_RECEIVED_PER_S = 200;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final int UNCHANGED_INTERVALS = 2;

  /** Whom a datagram goes to. */
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

  /** The time in which the budget of a process with {@code activePeers} allows one datagram. */
  private static double msPerToken(int activePeers) {
    return Math.max(1, activePeers) * MILLIS_PER_SECOND / MAX_RECEIVED_PER_S;
  }

  /** The time between two looks at calls that ended or that the budget held back. */
  static long intervalMs(int activePeers) {
    return Math.max(MIN_INTERVAL_MS, Math.round(msPerToken(activePeers)));
  }

  private static long refreshMs(int activePeers) {
    long intervalMs = intervalMs(activePeers);
    return Math.max(intervalMs, Math.min(REFRESH_MS, UNCHANGED_INTERVALS * intervalMs));
  }

  /** How long counts hold: two datagrams in a row may be lost, and the third be on its way. */
  static int ttlMs(int activePeers) {
    long holdMs = 2 * refreshMs(activePeers) + intervalMs(activePeers);
    return (int) Math.min(LoadDatagram.MAX_TTL_MS, holdMs);
  }

  /** Whom to tell {@code calls} when one has just begun; what it says is taken as done. */
  Recipients onCallStart(Map<Long, Integer> calls, int activePeers, long nowMs) {
    refill(activePeers, nowMs);
    return tokens >= 1 ? recordSend(calls, nowMs) : Recipients.NONE;
  }

  /** Whom to tell {@code calls}, asked at each interval; what it says is taken as done. */
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
