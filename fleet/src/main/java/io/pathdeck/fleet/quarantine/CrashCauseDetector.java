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
 * Finds the requests that crash engines, given the requests in progress at each crash.
 *
 * <p>Each crash has at most one cause among the requests in progress. A request counts as a cause
 * when {@value #SUFFICIENT_CRASHES} engine instances crashed while processing it and no other cause
 * explains these crashes. The detector selects the request with the most crashes first and then
 * ignores its crashes for all other requests. So a request that only runs concurrently with a cause
 * is not selected, and a request selected by mistake is dropped once the actual cause is known.
 *
 * <p>A crash counts half for a request whose response had started, because most causes crash the
 * engine before it responds. A request that completes is not a cause, and the caller removes it.
 */
public final class CrashCauseDetector {
  /** Unrelated crashes rarely hit the same request this often. */
  static final int SUFFICIENT_CRASHES = 3;

  private static final double RESPONSE_STARTED_WEIGHT = 0.5;

  /** Crashes expire after this time, which is longer than callers retry a request. */
  private static final long EVIDENCE_TTL_MS = 60_000;

  /** Bounds memory, at about 300 bytes per request; the oldest requests are evicted first. */
  private static final int MAX_REQUESTS = 2_048;

  /** How much a crash counts against a request, and when it was added. */
  private record Evidence(double weight, long atMs) {}

  private final Map<RequestFingerprint, Map<String, Evidence>> crashesByRequest =
      new LinkedHashMap<>();

  /** Adds a crash of an engine instance for one request; ignored if already known. */
  public void add(EngineEnd crash, long nowMs) {
    double weight = crash.answerBegan() ? RESPONSE_STARTED_WEIGHT : 1;
    crashesByRequest
        .computeIfAbsent(crash.request(), key -> new HashMap<>())
        .putIfAbsent(crash.engine(), new Evidence(weight, nowMs));
    if (crashesByRequest.size() > MAX_REQUESTS) {
      Iterator<RequestFingerprint> oldest = crashesByRequest.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** Removes a completed request and its crashes. */
  public void remove(RequestFingerprint request) {
    crashesByRequest.remove(request);
  }

  public void clear() {
    crashesByRequest.clear();
  }

  /** Removes the crashes that were added too long ago. */
  public void expire(long nowMs) {
    crashesByRequest
        .values()
        .forEach(crashes -> crashes.values().removeIf(crash -> isExpired(crash, nowMs)));
    crashesByRequest.values().removeIf(Map::isEmpty);
  }

  private static boolean isExpired(Evidence crash, long nowMs) {
    return nowMs - crash.atMs() > EVIDENCE_TTL_MS;
  }

  /** Whether there are crashes for any request with this outline. */
  boolean mayContain(int outline) {
    return crashesByRequest.keySet().stream().anyMatch(request -> request.outline() == outline);
  }

  /** Whether there are crashes for this request. */
  boolean contains(RequestFingerprint request) {
    return crashesByRequest.containsKey(request);
  }

  boolean isEmpty() {
    return crashesByRequest.isEmpty();
  }

  /**
   * Whether the request has enough unexpired crashes to be a cause on its own. Only then does its
   * absence from {@link #causes} mean that other requests explain its crashes.
   */
  public boolean hasSufficientEvidence(RequestFingerprint request) {
    boolean known = crashesByRequest.containsKey(request);
    return known && unexplainedWeight(request, Set.of()) >= SUFFICIENT_CRASHES;
  }

  /**
   * Finds the requests that crash engines. A request found before may be missing once the actual
   * cause is known.
   *
   * @param isQuarantined whether a request is already quarantined; such a request wins a tie
   */
  public List<RequestFingerprint> causes(Predicate<RequestFingerprint> isQuarantined) {
    List<RequestFingerprint> candidates = new ArrayList<>();
    crashesByRequest.forEach(
        (request, crashes) -> {
          if (crashes.size() >= SUFFICIENT_CRASHES) {
            candidates.add(request);
          }
        });
    Set<String> explainedCrashes = new HashSet<>();
    List<RequestFingerprint> causes = new ArrayList<>();
    Optional<RequestFingerprint> strongest =
        strongestCandidate(candidates, explainedCrashes, isQuarantined);
    while (strongest.isPresent()) {
      causes.add(strongest.get());
      explainedCrashes.addAll(crashesByRequest.get(strongest.get()).keySet());
      strongest = strongestCandidate(candidates, explainedCrashes, isQuarantined);
    }
    return causes;
  }

  /** The candidate with the most unexplained crashes; empty if none has enough to be a cause. */
  private Optional<RequestFingerprint> strongestCandidate(
      List<RequestFingerprint> candidates,
      Set<String> explainedCrashes,
      Predicate<RequestFingerprint> isQuarantined) {
    RequestFingerprint strongest = null;
    double maxWeight = 0;
    for (RequestFingerprint candidate : candidates) {
      double weight = unexplainedWeight(candidate, explainedCrashes);
      boolean isStronger =
          weight > maxWeight || (weight == maxWeight && isQuarantined.test(candidate));
      if (weight >= SUFFICIENT_CRASHES && isStronger) {
        strongest = candidate;
        maxWeight = weight;
      }
    }
    return Optional.ofNullable(strongest);
  }

  private double unexplainedWeight(RequestFingerprint request, Set<String> explainedCrashes) {
    double weight = 0;
    for (Map.Entry<String, Evidence> crash : crashesByRequest.get(request).entrySet()) {
      if (!explainedCrashes.contains(crash.getKey())) {
        weight += crash.getValue().weight();
      }
    }
    return weight;
  }
}
