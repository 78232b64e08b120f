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
 * Finds the requests and the parts of prompts that crash engines, given the requests in progress at
 * each crash.
 *
 * <p>Each crash has at most one cause among the requests in progress and the parts of their
 * prompts. Something counts as a cause when {@value #SUFFICIENT_CRASHES} engine instances crashed
 * while processing it and no other cause explains these crashes. The detector selects the suspect
 * with the most crashes first and then ignores its crashes for all other suspects. So a request
 * that only runs concurrently with a cause is not selected, and a suspect selected by mistake is
 * dropped once the actual cause is known.
 *
 * <p>A request is doubtful, and needs more crashes, if many crashes happened without it, or if the
 * same crashes interrupted other requests so often that one was to be expected at all of them. A
 * crash counts half for a request whose response had started, because most requests that crash
 * engines do so before the response. Batch items are no suspects, but tell how many different calls
 * with a part were interrupted. A part crashes each engine that begins to write a response on it,
 * so each success with it removes all crashes before. A part is doubtful, and needs more crashes
 * and requests, if it was served before or if many crashes happened without it: then engines also
 * crash for other reasons, and a rare part may be there by chance. One that was served before may
 * also be so frequent that it is at most engines: unless chance is unlikely to have led other parts
 * to as many crashes, it needs crashes for longer than sound parts remain unserved, while most
 * other parts are served.
 */
public final class CrashCauseDetector {
  static final int SUFFICIENT_CRASHES = 3;

  /**
   * Crashes of a part that was served before, of a suspect that explains only some of the crashes,
   * or of a request that may have been in progress at them by chance.
   */
  static final int SUFFICIENT_CRASHES_OF_DOUBTFUL_SUSPECT = 5;

  /** From this many requests expected at all crashes of one, chance may have selected it. */
  private static final double MAX_EXPECTED_BY_CHANCE = 0.2;

  /** From this many parts expected at as many crashes as one, chance may have selected it. */
  private static final double MAX_PARTS_EXPECTED_BY_CHANCE = 0.1;

  /** The same for parts that remain unserved, if crashes of one go on for long. */
  private static final double MAX_UNSERVED_PARTS_EXPECTED_BY_CHANCE = 1;

  /** Crashes of a served part that chance may have selected, and the time that they span. */
  private static final int SUFFICIENT_CRASHES_OF_FREQUENT_PART = 8;

  /** Items of one part are fewer than calls and come again, and may crash engines themselves. */
  private static final int SUFFICIENT_CRASHES_OF_FREQUENT_PART_OF_ITEMS = 16;

  private static final long MIN_CRASH_SPAN_OF_FREQUENT_PART_MS = 500;

  /** From this many crashes on, a part is suspected. */
  private static final int SUSPICIOUS_CRASHES = 2;

  /** Bounds the list of suspected parts, at about 40 bytes per part. */
  private static final int MAX_SUSPECTED_PARTS = 64;

  /**
   * Crashes of a part and the requests that they interrupted, added up: the fewer requests, the
   * more crashes are needed, since those of one request are evidence against that request only.
   */
  private static final int MIN_CRASHES_AND_REQUESTS_OF_PART = 2 * SUFFICIENT_CRASHES;

  private static final int MIN_REQUESTS_OF_DOUBTFUL_PART = 4;

  /** Crashes expire after this time, which is longer than callers retry a request. */
  static final long EVIDENCE_TTL_MS = 60_000;

  /** Crashes of this age are told again to a new leader, or by a process that stood still. */
  private static final long LATE_REPORT_MS = 1_000;

  /** By then processes have told which parts they saw served. */
  static final long SETTLE_AFTER_LATE_REPORT_MS = 1_000;

  /** Bounds memory, at about 400 bytes per suspect; those without a recent crash go first. */
  private static final int MAX_SUSPECTS = 4_096;

  private final Map<RequestFingerprint, CrashSuspect> suspects = new LinkedHashMap<>();
  private final Map<String, EngineCrash> crashesByEngine = new HashMap<>();
  private long latestMs;

  /** Adds a crash of an engine instance for one request; ignored if known or expired. */
  public void add(EngineEnd crash, long nowMs) {
    if (crash.agoMs() > EVIDENCE_TTL_MS) {
      return;
    }
    EngineCrash told = EngineCrash.of(crash, nowMs - crash.agoMs());
    EngineCrash known = crashesByEngine.get(crash.engine());
    EngineCrash merged = known == null ? told : known.merge(told);
    crashesByEngine.put(crash.engine(), merged);
    long atMs = merged.atMs();
    if (known != null && atMs < known.atMs()) {
      suspects.values().forEach(suspect -> suspect.onCrashedEarlier(crash.engine(), atMs));
    }
    if (!crash.request().isBatchItem()) {
      add(crash.request(), new CrashSuspect(false, 0), crash, atMs);
    }
    for (int depth = 0; depth < crash.promptParts().size(); depth++) {
      add(crash.promptParts().get(depth), newPart(depth, crash, nowMs), crash, atMs);
    }
    evictOldest();
    latestMs = nowMs;
  }

  private static CrashSuspect newPart(int depth, EngineEnd crash, long nowMs) {
    CrashSuspect part = new CrashSuspect(true, depth);
    if (crash.agoMs() > LATE_REPORT_MS) {
      part.judgeFrom(nowMs + SETTLE_AFTER_LATE_REPORT_MS);
    }
    return part;
  }

  /** Adds a crash for a request or part, which thereby becomes the last one to be evicted. */
  private void add(
      RequestFingerprint fingerprint, CrashSuspect newSuspect, EngineEnd crash, long atMs) {
    CrashSuspect known = suspects.remove(fingerprint);
    CrashSuspect suspect = known == null ? newSuspect : known;
    suspects.put(fingerprint, suspect);
    suspect.add(crash.engine(), crash.request(), crash.answerBegan(), atMs);
  }

  private void evictOldest() {
    Iterator<RequestFingerprint> oldest = suspects.keySet().iterator();
    while (suspects.size() > MAX_SUSPECTS) {
      oldest.next();
      oldest.remove();
    }
  }

  /** Removes the crashes of a request or a part before it was served to its end. */
  public void onServed(RequestFingerprint served, long atMs) {
    CrashSuspect suspect = suspects.get(served);
    if (suspect == null) {
      return;
    }
    suspect.onServed(atMs);
    if (!suspect.isPart() && !suspect.hasCrashes()) {
      suspects.remove(served);
    }
  }

  /** Removes all crashes of a request or a part. */
  public void remove(RequestFingerprint fingerprint) {
    suspects.remove(fingerprint);
  }

  public void clear() {
    suspects.clear();
    crashesByEngine.clear();
  }

  /** Removes the crashes that happened too long ago, and parts that were last served then. */
  public void expire(long nowMs) {
    latestMs = nowMs;
    long fromMs = nowMs - EVIDENCE_TTL_MS;
    suspects.values().forEach(suspect -> suspect.removeCrashesBefore(fromMs));
    suspects.values().removeIf(suspect -> !suspect.hasCrashes() && !suspect.wasServedSince(fromMs));
    crashesByEngine.values().removeIf(crash -> nowMs - crash.atMs() > 2 * EVIDENCE_TTL_MS);
  }

  /** Whether there are crashes for any request with this outline. */
  boolean mayContain(int outline) {
    return suspects.keySet().stream().anyMatch(request -> request.outline() == outline);
  }

  /** Whether there are crashes for this request or part. */
  boolean contains(RequestFingerprint fingerprint) {
    return crashes(fingerprint) > 0;
  }

  boolean isEmpty() {
    return suspects.isEmpty();
  }

  /** Returns the number of crashes for this request or part. */
  public int crashes(RequestFingerprint fingerprint) {
    CrashSuspect suspect = suspects.get(fingerprint);
    return suspect == null ? 0 : suspect.crashes();
  }

  /**
   * Whether a request or part has enough unexpired crashes to be judged. Only then does its absence
   * from {@link #causes} mean that other causes, or chance, explain its crashes.
   */
  public boolean hasSufficientEvidence(RequestFingerprint fingerprint) {
    CrashSuspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return false;
    }
    CrashGroups crashes = unexplainedCrashes(Set.of());
    return suspect.isPart()
        ? isSufficient(suspect, crashes)
        : crashes.against(suspect).weight() >= SUFFICIENT_CRASHES;
  }

  /**
   * Whether {@code causes} explain so many crashes of a request or part, which is none of them,
   * that those left are too few to judge it. Doubt is not enough for a request: it may crash
   * engines beside other causes that are not found yet.
   */
  public boolean isExonerated(RequestFingerprint fingerprint, List<RequestFingerprint> causes) {
    if (causes.contains(fingerprint) || !hasSufficientEvidence(fingerprint)) {
      return false;
    }
    CrashSuspect suspect = suspects.get(fingerprint);
    if (!suspect.isJudgedAt(latestMs)) {
      return false;
    }
    Set<String> explained = new HashSet<>();
    causes.forEach(cause -> explained.addAll(suspects.get(cause).crashedEngines()));
    return suspect.isPart()
        || unexplainedCrashes(explained).against(suspect).weight() < SUFFICIENT_CRASHES;
  }

  /** What crashes say against a request or part, apart from other causes; for operators. */
  public String describeEvidence(RequestFingerprint fingerprint, long nowMs) {
    CrashSuspect suspect = suspects.get(fingerprint);
    if (suspect == null) {
      return "none";
    }
    CrashGroups crashes = unexplainedCrashes(Set.of());
    CrashEvidence evidence = crashes.against(suspect);
    return ("weight %s, requests %d, at most crashes %b, expected by chance %.2f,"
            + " crashed ms ago %s, served ms ago %s")
        .formatted(
            evidence.weight(),
            evidence.requests(),
            evidence.explainsMost(),
            expectedByChance(suspect, crashes),
            suspect.crashAges(nowMs),
            suspect.wasServed() ? nowMs - suspect.servedAtMs() : "never");
  }

  private CrashGroups unexplainedCrashes(Set<String> explained) {
    return new CrashGroups(crashesByEngine, explained);
  }

  private boolean isSufficient(CrashSuspect suspect, CrashGroups crashes) {
    CrashEvidence evidence = crashes.against(suspect);
    if (evidence.weight() < SUFFICIENT_CRASHES) {
      return false;
    }
    return suspect.isPart()
        ? isSufficientAgainstPart(suspect, evidence, crashes)
        : isSufficientAgainstRequest(suspect, evidence, crashes);
  }

  private boolean isSufficientAgainstRequest(
      CrashSuspect request, CrashEvidence evidence, CrashGroups crashes) {
    if (evidence.crashes() >= SUFFICIENT_CRASHES_OF_DOUBTFUL_SUSPECT) {
      return true;
    }
    return evidence.explainsMost() && expectedByChance(request, crashes) <= MAX_EXPECTED_BY_CHANCE;
  }

  private double expectedByChance(CrashSuspect suspect, CrashGroups crashes) {
    List<CrashSuspect> sameKind = suspectsOfKind(suspect.isPart());
    return suspect.isPart()
        ? crashes.chancesOf(suspect, sameKind).expected()
        : crashes.expectedByChance(suspect, sameKind);
  }

  private List<CrashSuspect> suspectsOfKind(boolean isPart) {
    return suspects.values().stream().filter(suspect -> suspect.isPart() == isPart).toList();
  }

  private boolean isSufficientAgainstPart(
      CrashSuspect part, CrashEvidence evidence, CrashGroups crashes) {
    if (part.wasServed() || !evidence.explainsMost()) {
      return evidence.weight() >= SUFFICIENT_CRASHES_OF_DOUBTFUL_SUSPECT
          && evidence.requests() >= MIN_REQUESTS_OF_DOUBTFUL_PART
          && (!part.wasServed() || isAgainstChance(part, evidence, crashes));
    }
    return evidence.requests() > 1
        && evidence.weight() + evidence.requests() >= MIN_CRASHES_AND_REQUESTS_OF_PART;
  }

  private boolean isAgainstChance(CrashSuspect part, CrashEvidence evidence, CrashGroups crashes) {
    boolean isLasting =
        evidence.weight() >= sufficientCrashesOfFrequentPart(evidence)
            && part.crashSpanMs() >= MIN_CRASH_SPAN_OF_FREQUENT_PART_MS;
    PartChances chances = crashes.chancesOf(part, suspectsOfKind(true));
    return chances.expected() <= MAX_PARTS_EXPECTED_BY_CHANCE
        || (isLasting && chances.expectedUnserved() <= MAX_UNSERVED_PARTS_EXPECTED_BY_CHANCE);
  }

  private static int sufficientCrashesOfFrequentPart(CrashEvidence evidence) {
    int calls = evidence.requests() - evidence.items();
    return calls < MIN_REQUESTS_OF_DOUBTFUL_PART
        ? SUFFICIENT_CRASHES_OF_FREQUENT_PART_OF_ITEMS
        : SUFFICIENT_CRASHES_OF_FREQUENT_PART;
  }

  /**
   * Returns the parts that may soon count as causes; whoever has seen one of them served should
   * tell.
   */
  public List<RequestFingerprint> suspectedParts() {
    CrashGroups crashes = unexplainedCrashes(Set.of());
    List<RequestFingerprint> parts = new ArrayList<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          boolean mayBeCause =
              suspect.isPart()
                  && suspect.crashes() >= SUSPICIOUS_CRASHES
                  && crashes.against(suspect).weight() >= SUSPICIOUS_CRASHES;
          if (mayBeCause && parts.size() < MAX_SUSPECTED_PARTS) {
            parts.add(fingerprint);
          }
        });
    return parts;
  }

  /**
   * Finds the requests and parts that crash engines. One that was found before may be missing once
   * the actual cause is known.
   *
   * @param isQuarantined whether a request or part is already quarantined; it wins a tie
   */
  public List<RequestFingerprint> causes(Predicate<RequestFingerprint> isQuarantined) {
    List<RequestFingerprint> candidates = new ArrayList<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          boolean isJudged = suspect.isJudgedAt(latestMs) || isQuarantined.test(fingerprint);
          if (suspect.crashes() >= SUFFICIENT_CRASHES && isJudged) {
            candidates.add(fingerprint);
          }
        });
    Set<String> explained = new HashSet<>();
    List<RequestFingerprint> causes = new ArrayList<>();
    Optional<Candidate> strongest = strongest(candidates, explained, isQuarantined);
    while (strongest.isPresent()) {
      RequestFingerprint cause = strongest.get().fingerprint();
      causes.add(cause);
      explained.addAll(suspects.get(cause).crashedEngines());
      strongest = strongest(candidates, explained, isQuarantined);
    }
    causes.addAll(samePartsOfOtherServices(causes, explained));
    return causes;
  }

  /**
   * Finds parts that are causes at one service and were in progress at any other crash of another
   * service, where they were not served.
   */
  private List<RequestFingerprint> samePartsOfOtherServices(
      List<RequestFingerprint> causes, Set<String> explained) {
    CrashGroups crashes = unexplainedCrashes(explained);
    List<RequestFingerprint> parts = new ArrayList<>();
    suspects.forEach(
        (fingerprint, suspect) -> {
          boolean isKnownElsewhere = causes.stream().anyMatch(fingerprint::isSamePromptPart);
          boolean isUnserved = suspect.isPart() && !suspect.wasServed();
          if (isKnownElsewhere && isUnserved && crashes.against(suspect).weight() > 0) {
            parts.add(fingerprint);
          }
        });
    return parts;
  }

  /**
   * Whether a part that never was served may explain half of the crashes of this one, and harms
   * fewer other requests: it stands behind this one, or this one was served. It is the better
   * explanation, even if its evidence does not suffice yet.
   */
  private boolean isOutweighed(CrashSuspect part, CrashGroups crashes) {
    return part.isPart()
        && suspects.values().stream()
            .filter(other -> other.isPart() && !other.wasServed())
            .filter(other -> part.wasServed() || other.depth() > part.depth())
            .filter(other -> 2 * other.countShared(part) >= part.crashes())
            .anyMatch(other -> crashes.against(other).weight() >= SUSPICIOUS_CRASHES);
  }

  /** The strongest candidate by its unexplained crashes; empty if none has enough to be a cause. */
  private Optional<Candidate> strongest(
      List<RequestFingerprint> candidates,
      Set<String> explained,
      Predicate<RequestFingerprint> isQuarantined) {
    CrashGroups crashes = unexplainedCrashes(explained);
    Candidate strongest = null;
    for (RequestFingerprint fingerprint : candidates) {
      CrashSuspect suspect = suspects.get(fingerprint);
      if (!isSufficient(suspect, crashes) || isOutweighed(suspect, crashes)) {
        continue;
      }
      double weight = crashes.against(suspect).weight();
      Candidate candidate =
          new Candidate(fingerprint, suspect, weight, isQuarantined.test(fingerprint));
      if (strongest == null || candidate.isStrongerThan(strongest)) {
        strongest = candidate;
      }
    }
    return Optional.ofNullable(strongest);
  }

  /** A suspect with enough unexplained crashes to be a cause. */
  private record Candidate(
      RequestFingerprint fingerprint, CrashSuspect suspect, double weight, boolean isQuarantined) {

    /**
     * Of several parts that explain the same crashes, the last one in the prompt harms the fewest
     * other requests if it is selected by mistake.
     */
    boolean isStrongerThan(Candidate other) {
      boolean isServedPart = suspect.isPart() && suspect.wasServed();
      boolean isOtherServedPart = other.suspect.isPart() && other.suspect.wasServed();
      if (isServedPart != isOtherServedPart) {
        return isOtherServedPart;
      }
      if (weight != other.weight) {
        return weight > other.weight;
      }
      if (isQuarantined != other.isQuarantined) {
        return isQuarantined;
      }
      if (suspect.isPart() != other.suspect.isPart()) {
        return other.suspect.isPart();
      }
      return suspect.depth() > other.suspect.depth();
    }
  }
}
