package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Set;

/** A request, or a part of prompts, and the crashes of engines that were processing it. */
final class CrashSuspect {
  /** Bounds the memory of a crash; no decision needs to count more requests. */
  private static final int MAX_REQUESTS_PER_CRASH = 4;

  private static final double RESPONSE_STARTED_WEIGHT = 0.5;
  private static final long NEVER = Long.MIN_VALUE;

  /** The crash of one engine; {@code requests} are some of those that it interrupted. */
  private static final class Crash {
    private final Set<RequestFingerprint> requests = new HashSet<>();
    private final double weight;
    private long atMs;

    private Crash(double weight, long atMs) {
      this.weight = weight;
      this.atMs = atMs;
    }
  }

  private final boolean isPart;
  private final int depth;
  private final Map<String, Crash> crashesByEngine = new HashMap<>();

  /** When the engines crashed that were processing this, also before it was served. */
  private final Map<String, Long> interruptedAtMs = new HashMap<>();

  private long servedAtMs = NEVER;
  private long judgedFromMs = NEVER;

  /**
   * Creates a suspect without crashes.
   *
   * @param isPart whether this is a part of prompts and not a request
   * @param depth the position of a part in its prompt
   */
  CrashSuspect(boolean isPart, int depth) {
    this.isPart = isPart;
    this.depth = depth;
  }

  /** Sets a time before which successes may not be known yet, so that this is not judged. */
  void judgeFrom(long timeMs) {
    judgedFromMs = timeMs;
  }

  boolean isJudgedAt(long nowMs) {
    return nowMs >= judgedFromMs;
  }

  /** Adds the crash of an engine that interrupted {@code request}. */
  void add(String engine, RequestFingerprint request, boolean responseStarted, long atMs) {
    interruptedAtMs.merge(engine, atMs, Math::min);
    if (atMs <= servedAtMs) {
      return;
    }
    double weight = responseStarted ? RESPONSE_STARTED_WEIGHT : 1;
    Crash crash = crashesByEngine.computeIfAbsent(engine, key -> new Crash(weight, atMs));
    crash.atMs = Math.min(crash.atMs, atMs);
    if (crash.requests.size() < MAX_REQUESTS_PER_CRASH) {
      crash.requests.add(request);
    }
  }

  /** Corrects the time of a crash, which a process that had paused told too late. */
  void onCrashedEarlier(String engine, long atMs) {
    Crash crash = crashesByEngine.get(engine);
    if (crash == null) {
      return;
    }
    crash.atMs = Math.min(crash.atMs, atMs);
    if (crash.atMs <= servedAtMs) {
      crashesByEngine.remove(engine);
    }
  }

  /** Removes the crashes before this success, which no cause of crashes would have reached. */
  void onServed(long atMs) {
    servedAtMs = Math.max(servedAtMs, atMs);
    crashesByEngine.values().removeIf(crash -> crash.atMs <= servedAtMs);
  }

  void removeCrashesBefore(long timeMs) {
    crashesByEngine.values().removeIf(crash -> crash.atMs < timeMs);
    interruptedAtMs.values().removeIf(atMs -> atMs < timeMs);
  }

  boolean hasCrashes() {
    return !crashesByEngine.isEmpty();
  }

  int crashes() {
    return crashesByEngine.size();
  }

  Set<String> crashedEngines() {
    return crashesByEngine.keySet();
  }

  /** Returns at how many crashes both were in progress. */
  int countShared(CrashSuspect other) {
    return (int) crashesByEngine.keySet().stream().filter(other::hasCrash).count();
  }

  boolean isPart() {
    return isPart;
  }

  int depth() {
    return depth;
  }

  /** Whether engines are known to have served this to its end. */
  boolean wasServed() {
    return servedAtMs != NEVER;
  }

  /** Whether engines are known to have served this at a time or later. */
  boolean wasServedSince(long timeMs) {
    return wasServed() && servedAtMs >= timeMs;
  }

  /** When this was last served, as far as known; meaningless unless it {@link #wasServed}. */
  long servedAtMs() {
    return servedAtMs;
  }

  /** Returns how long ago engines crashed while they processed this, the latest crash first. */
  List<Long> crashAges(long nowMs) {
    return crashesByEngine.values().stream().map(crash -> nowMs - crash.atMs).sorted().toList();
  }

  /** Whether the engine crashed while it processed this. */
  boolean hasCrash(String engine) {
    return crashesByEngine.containsKey(engine);
  }

  /** Whether the engine crashed while it processed this, even if this was served since. */
  boolean wasInterruptedAt(String engine) {
    return interruptedAtMs.containsKey(engine);
  }

  /** Returns the time from the first crash to the last one. */
  long crashSpanMs() {
    LongSummaryStatistics times =
        crashesByEngine.values().stream().mapToLong(crash -> crash.atMs).summaryStatistics();
    return times.getCount() == 0 ? 0 : times.getMax() - times.getMin();
  }

  /** Returns how much the crash of an engine counts; 0 if it did not process this. */
  double weightOf(String engine) {
    Crash crash = crashesByEngine.get(engine);
    return crash == null ? 0 : crash.weight;
  }

  /** Returns some of the requests that the crash of an engine interrupted. */
  Set<RequestFingerprint> requestsAt(String engine) {
    return crashesByEngine.get(engine).requests;
  }
}
