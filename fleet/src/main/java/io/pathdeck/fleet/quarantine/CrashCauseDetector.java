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
 * Under which requests engines have ended, and which of these requests end them. Pure: time is
 * told.
 *
 * <p>Many requests are under way when an engine ends, and one of them at most is the cause. A
 * request is held to be the cause when {@value #SUFFICIENT_CRASHES} lives of engines ended under it
 * that no other cause explains. The request under which most have ended is found first, and the
 * ends under it then count against no other: so requests that were beside it again and again stay
 * clear, and one that was held to be a cause by mistake is none any more when more is known. An end
 * counts half for a request that the engine had begun to answer, since a request that ends engines
 * when they begin to run it gets no answer. A request that was served to its end is cleared.
 */
public final class CrashCauseDetector {
  /** Engines of a fleet end one by one for other reasons too; three under one request seldom do. */
  static final int SUFFICIENT_CRASHES = 3;

  private static final double ANSWER_BEGAN_WEIGHT = 0.5;

  /** Longer than callers repeat a request after an engine that was away has come back. */
  private static final long WINDOW_MS = 60_000;

  /** About 300 bytes each; the oldest give way when many engines end under many requests. */
  private static final int MAX_REQUESTS = 2_048;

  /** One end, as it counts against a request. */
  private record Evidence(double weight, long atMs) {}

  private final Map<RequestFingerprint, Map<String, Evidence>> crashesByRequest =
      new LinkedHashMap<>();

  /** Notes an end; the same one may be told again. */
  public void add(EngineEnd end, long nowMs) {
    double weight = end.answerBegan() ? ANSWER_BEGAN_WEIGHT : 1;
    crashesByRequest
        .computeIfAbsent(end.request(), key -> new HashMap<>())
        .putIfAbsent(end.engine(), new Evidence(weight, nowMs));
    if (crashesByRequest.size() > MAX_REQUESTS) {
      Iterator<RequestFingerprint> oldest = crashesByRequest.keySet().iterator();
      oldest.next();
      oldest.remove();
    }
  }

  /** A request was served to its end. */
  public void clear(RequestFingerprint request) {
    crashesByRequest.remove(request);
  }

  /** Forgets everything. */
  public void clear() {
    crashesByRequest.clear();
  }

  /** Forgets what is too old to count. */
  public void expire(long nowMs) {
    crashesByRequest.values().forEach(ends -> ends.values().removeIf(end -> isOld(end, nowMs)));
    crashesByRequest.values().removeIf(Map::isEmpty);
  }

  private static boolean isOld(Evidence end, long nowMs) {
    return nowMs - end.atMs() > WINDOW_MS;
  }

  /** Whether an engine has ended under a request of this outline of late. */
  boolean mayContain(int outline) {
    return crashesByRequest.keySet().stream().anyMatch(request -> request.outline() == outline);
  }

  /** Whether an engine has ended under this request of late. */
  boolean contains(RequestFingerprint request) {
    return crashesByRequest.containsKey(request);
  }

  boolean isEmpty() {
    return crashesByRequest.isEmpty();
  }

  /**
   * Whether the ends that are known under a request weigh enough to make it a cause if nothing else
   * explained them. Where they weigh less, as after some have grown old, nothing tells that another
   * request explains them.
   */
  public boolean hasSufficientEvidence(RequestFingerprint request) {
    boolean known = crashesByRequest.containsKey(request);
    return known && unexplainedWeight(request, Set.of()) >= SUFFICIENT_CRASHES;
  }

  /**
   * The requests that end engines, by all that is known now. A request that was a cause before may
   * be none any more, once the true cause has become plain.
   *
   * @param isHeld whether a request was a cause before; among equals it stays one
   */
  public List<RequestFingerprint> causes(Predicate<RequestFingerprint> isHeld) {
    List<RequestFingerprint> candidates = new ArrayList<>();
    crashesByRequest.forEach(
        (request, ends) -> {
          if (ends.size() >= SUFFICIENT_CRASHES) {
            candidates.add(request);
          }
        });
    Set<String> explained = new HashSet<>();
    List<RequestFingerprint> causes = new ArrayList<>();
    Optional<RequestFingerprint> leading = strongestCandidate(candidates, explained, isHeld);
    while (leading.isPresent()) {
      causes.add(leading.get());
      explained.addAll(crashesByRequest.get(leading.get()).keySet());
      leading = strongestCandidate(candidates, explained, isHeld);
    }
    return causes;
  }

  /** The request under which most engines ended that nothing explains; empty when too few did. */
  private Optional<RequestFingerprint> strongestCandidate(
      List<RequestFingerprint> candidates,
      Set<String> explained,
      Predicate<RequestFingerprint> isHeld) {
    RequestFingerprint leading = null;
    double most = 0;
    for (RequestFingerprint candidate : candidates) {
      double weight = unexplainedWeight(candidate, explained);
      boolean leads = weight > most || (weight == most && isHeld.test(candidate));
      if (weight >= SUFFICIENT_CRASHES && leads) {
        leading = candidate;
        most = weight;
      }
    }
    return Optional.ofNullable(leading);
  }

  private double unexplainedWeight(RequestFingerprint request, Set<String> explained) {
    double weight = 0;
    for (Map.Entry<String, Evidence> end : crashesByRequest.get(request).entrySet()) {
      if (!explained.contains(end.getKey())) {
        weight += end.getValue().weight();
      }
    }
    return weight;
  }
}
