package io.pathdeck.fleet.quarantine;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * The crashes that no known cause explains, in order of time; crashes at the same time form a
 * group, since they may have a common reason, such as a lost rack.
 */
final class CrashGroups {
  /** How far apart processes notice crashes that happen together. */
  private static final long SIMULTANEOUS_MS = 50;

  /** Crashes in this time before the first one of a suspect show whether it explains them, too. */
  private static final long LOOKBACK_MS = 3_000;

  /**
   * What is assumed beside the counted interruptions, which may be few: one request in ten is
   * interrupted again.
   */
  private static final double ASSUMED_INTERRUPTED = 10;

  private static final double ASSUMED_AGAIN = 1;

  /** The engines that crashed at the same time. */
  private record Group(long firstMs, Set<String> engines) {}

  private final List<Group> groups = new ArrayList<>();

  /**
   * Groups crashes.
   *
   * @param crashesByEngine the crash of each engine
   * @param explained the engines to leave out
   */
  CrashGroups(Map<String, EngineCrash> crashesByEngine, Set<String> explained) {
    crashesByEngine.entrySet().stream()
        .filter(crash -> !explained.contains(crash.getKey()))
        .sorted(Comparator.comparingLong(crash -> crash.getValue().atMs()))
        .forEach(crash -> add(crash.getKey(), crash.getValue()));
  }

  private void add(String engine, EngineCrash crash) {
    Group last = groups.isEmpty() ? null : groups.get(groups.size() - 1);
    if (last == null || !isSimultaneous(last, crash)) {
      last = new Group(crash.atMs(), new HashSet<>());
      groups.add(last);
    }
    last.engines().add(engine);
  }

  private static boolean isSimultaneous(Group group, EngineCrash crash) {
    boolean outlivedGroup = crash.aliveMs() >= group.firstMs();
    return !outlivedGroup && crash.atMs() - group.firstMs() <= SIMULTANEOUS_MS;
  }

  /**
   * Returns what the crashes say against a suspect. A group counts only if the suspect was in
   * progress at half of its engines: otherwise they crashed for another reason. It counts once for
   * a part. For a request each engine counts, because one try may crash two within milliseconds.
   */
  CrashEvidence against(CrashSuspect suspect) {
    Set<RequestFingerprint> requests = new HashSet<>();
    int crashes = 0;
    double weight = 0;
    List<Group> explained = explainedBy(suspect);
    for (Group group : explained) {
      List<String> engines = enginesOf(suspect, group);
      engines.forEach(engine -> requests.addAll(suspect.requestsAt(engine)));
      crashes += suspect.isPart() ? 1 : engines.size();
      weight += suspect.isPart() ? 1 : engines.stream().mapToDouble(suspect::weightOf).sum();
    }
    int items = (int) requests.stream().filter(RequestFingerprint::isBatchItem).count();
    return new CrashEvidence(
        crashes, weight, requests.size(), items, explainsMost(explained, suspect.isPart()));
  }

  /** A request that was quarantined after its last crash cannot be in progress at later ones. */
  private boolean explainsMost(List<Group> explained, boolean isPart) {
    if (explained.isEmpty()) {
      return false;
    }
    long fromMs = explained.get(0).firstMs() - LOOKBACK_MS;
    long toMs = isPart ? Long.MAX_VALUE : explained.get(explained.size() - 1).firstMs();
    return explained.size() >= CrashEvidence.MOST * countBetween(fromMs, toMs);
  }

  private List<Group> explainedBy(CrashSuspect suspect) {
    return groups.stream()
        .filter(group -> 2 * enginesOf(suspect, group).size() >= group.engines().size())
        .toList();
  }

  private static List<String> enginesOf(CrashSuspect suspect, Group group) {
    return group.engines().stream().filter(suspect::hasCrash).toList();
  }

  /**
   * Estimates how many requests would by chance be in progress at all groups of crashes that a
   * suspect explains. The chance of being interrupted again is taken from the other requests that
   * these groups interrupted.
   */
  double expectedByChance(CrashSuspect suspect, Collection<CrashSuspect> requests) {
    List<Group> explained = explainedBy(suspect);
    int interrupted = 0;
    int interruptedAgain = 0;
    for (CrashSuspect other : requests) {
      long hits = explained.stream().filter(group -> !enginesOf(other, group).isEmpty()).count();
      if (other != suspect && hits > 0) {
        interrupted++;
        interruptedAgain += hits > 1 ? 1 : 0;
      }
    }
    double chance = (interruptedAgain + ASSUMED_AGAIN) / (interrupted + ASSUMED_INTERRUPTED);
    return interrupted * Math.pow(chance, explained.size() - 1);
  }

  /**
   * Estimates the chance of a part that was served before to be in progress at the groups that it
   * explains. It is taken from the other parts at the same position of prompts that were
   * interrupted in that time, or from the crashes shortly before this part was last served,
   * whichever is higher.
   *
   * @param others parts, which may contain {@code part}
   */
  PartChances chancesOf(CrashSuspect part, Collection<CrashSuspect> others) {
    List<Group> explained = explainedBy(part);
    if (explained.isEmpty()) {
      return new PartChances(new BitSet(), 0, 0);
    }
    long firstMs = explained.get(0).firstMs();
    long fromMs = Math.min(firstMs, Math.max(firstMs - LOOKBACK_MS, part.servedAtMs()));
    List<Group> span = between(fromMs, explained.get(explained.size() - 1).firstMs());
    PartChances chances =
        new PartChances(indexes(span, explained::contains), span.size(), chanceBeforeServed(part));
    for (CrashSuspect other : others) {
      if (other == part || other.depth() != part.depth()) {
        continue;
      }
      BitSet interrupted = indexes(span, group -> wasInterruptedAtHalf(other, group));
      if (!interrupted.isEmpty()) {
        chances.addOther(interrupted, other.wasServedSince(firstMs));
      }
    }
    return chances;
  }

  private static BitSet indexes(List<Group> groups, Predicate<Group> filter) {
    BitSet indexes = new BitSet();
    for (int index = 0; index < groups.size(); index++) {
      indexes.set(index, filter.test(groups.get(index)));
    }
    return indexes;
  }

  private double chanceBeforeServed(CrashSuspect part) {
    if (!part.wasServed()) {
      return 0;
    }
    List<Group> before = between(part.servedAtMs() - LOOKBACK_MS, part.servedAtMs());
    return chance(countInterruptions(part, before), before.size());
  }

  private static double chance(int interruptedAgain, int opportunities) {
    return (interruptedAgain + ASSUMED_AGAIN) / (opportunities + ASSUMED_INTERRUPTED);
  }

  private static int countInterruptions(CrashSuspect suspect, List<Group> groups) {
    return (int) groups.stream().filter(group -> wasInterruptedAtHalf(suspect, group)).count();
  }

  private static boolean wasInterruptedAtHalf(CrashSuspect suspect, Group group) {
    long hits = group.engines().stream().filter(suspect::wasInterruptedAt).count();
    return 2 * hits >= group.engines().size();
  }

  private int countBetween(long fromMs, long toMs) {
    return between(fromMs, toMs).size();
  }

  private List<Group> between(long fromMs, long toMs) {
    return groups.stream()
        .filter(group -> group.firstMs() >= fromMs && group.firstMs() <= toMs)
        .toList();
  }
}
