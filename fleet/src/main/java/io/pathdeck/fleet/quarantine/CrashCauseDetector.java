package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Finds the requests that crash engines, given the requests in progress at each crash. Callers pass
 * the time.
 *
 * <p>At most one of the requests in progress at a crash is its cause. A request counts as a cause
 * when {@value #SUFFICIENT_CRASHES} engine instances crashed under it without being explained by
 * another cause. The request with the most crashes is found first, and its crashes then count
 * against no other request: so a request that repeatedly ran beside a cause stays clear, and one
 * blamed by mistake is cleared when more is known. A crash counts half for a request whose response
 * had begun, since a request that crashes engines when they begin to run it gets no response. A
 * request that completes is cleared.
 */
public final class CrashCauseDetector {
  /** Engines also crash one by one for other reasons, but seldom three times under one request. */
  static final int SUFFICIENT_CRASHES = 3;

  private static final double ANSWER_BEGAN_WEIGHT = 0.5;

  /** Longer than callers retry a request after an engine has come back. */
  private static final long WINDOW_MS = 60_000;

  /** About 300 bytes each; the oldest are evicted when many engines crash under many requests. */
  private static final int MAX_REQUESTS = 2_048;

  /** A crash as it counts against one request. */
  private record Evidence(double weight, long atMs) {}

  private final Map<RequestFingerprint, Map<String, Evidence>> crashesByRequest =
      new LinkedHashMap<>();

  /** Adds a crash; a repeated report of it is ignored. */
  public void add(EngineEnd crash, long nowMs) {
    double weight = crash.answerBegan() ? ANSWER_BEGAN_WEIGHT : 1;
    crashesByRequest
        .computeIfAbsent(crash.request(), key -> new HashMap<>())
        .putIfAbsent(crash.engine(), new Evidence(weight, nowMs));
    if (crashesByRequest.size() > MAX_REQUESTS) {
      Iterator<RequestFingerprint> oldest = crashesByRequest.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Removes a request that completed. */
  public void clear(RequestFingerprint request) {
    crashesByRequest.remove(request);
  }

  /** Removes all requests. */
  public void clear() {
    crashesByRequest.clear();
  }

  /** Removes crashes that are older than the window. */
  public void expire(long nowMs) {
    crashesByRequest
        .values()
        .forEach(crashes -> crashes.values().removeIf(crash -> isOld(crash, nowMs)));
    crashesByRequest.values().removeIf(Map::isEmpty);
  }

  private static boolean isOld(Evidence crash, long nowMs) {
    return nowMs - crash.atMs() > WINDOW_MS;
  }

  /** Whether an engine recently crashed under any request with this outline. */
  boolean mayContain(int outline) {
    return crashesByRequest.keySet().stream().anyMatch(request -> request.outline() == outline);
  }

  /** Whether an engine recently crashed under this request. */
  boolean contains(RequestFingerprint request) {
    return crashesByRequest.containsKey(request);
  }

  boolean isEmpty() {
    return crashesByRequest.isEmpty();
  }

  /**
   * Whether the known crashes under a request would make it a cause if nothing else explained them.
   * If they would not, for example after some have expired, its absence from {@link #causes} does
   * not mean that another request explains them.
   */
  public boolean hasSufficientEvidence(RequestFingerprint request) {
    boolean known = crashesByRequest.containsKey(request);
    return known && unexplainedWeight(request, Set.of()) >= SUFFICIENT_CRASHES;
  }

  /**
   * Finds the requests that crash engines, by all that is known now. A request that was a cause
   * before may be missing once the real cause is known.
   *
   * @param isQuarantined whether a request was a cause before; it wins a tie
   */
  public List<RequestFingerprint> causes(Predicate<RequestFingerprint> isQuarantined) {
    List<RequestFingerprint> candidates = new ArrayList<>();
    crashesByRequest.forEach(
        (request, crashes) -> {
          if (crashes.size() >= SUFFICIENT_CRASHES) {
            candidates.add(request);
          }
        });
    Set<String> explained = new HashSet<>();
    List<RequestFingerprint> causes = new ArrayList<>();
    Optional<RequestFingerprint> strongest =
        strongestCandidate(candidates, explained, isQuarantined);
    while (strongest.isPresent()) {
      causes.add(strongest.get());
      explained.addAll(crashesByRequest.get(strongest.get()).keySet());
      strongest = strongestCandidate(candidates, explained, isQuarantined);
    }
    return causes;
  }

  /** The request with the most unexplained crashes; empty if none has enough of them. */
  private Optional<RequestFingerprint> strongestCandidate(
      List<RequestFingerprint> candidates,
      Set<String> explained,
      Predicate<RequestFingerprint> isQuarantined) {
    RequestFingerprint strongest = null;
    double maxWeight = 0;
    for (RequestFingerprint candidate : candidates) {
      double weight = unexplainedWeight(candidate, explained);
      boolean isStronger =
          weight > maxWeight || (weight == maxWeight && isQuarantined.test(candidate));
      if (weight >= SUFFICIENT_CRASHES && isStronger) {
        strongest = candidate;
        maxWeight = weight;
      }
    }
    return Optional.ofNullable(strongest);
  }

  private double unexplainedWeight(RequestFingerprint request, Set<String> explained) {
    double weight = 0;
    for (Map.Entry<String, Evidence> crash : crashesByRequest.get(request).entrySet()) {
      if (!explained.contains(crash.getKey())) {
        weight += crash.getValue().weight();
      }
    }
    return weight;
  }
}
