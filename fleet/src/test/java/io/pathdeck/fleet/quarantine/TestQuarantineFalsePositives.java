package io.pathdeck.fleet.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Simulates engine crashes, some of them caused by one request, and counts the innocent requests
 * that are quarantined by mistake.
 *
 * <p>Each request runs on one engine at a time; when that engine crashes, the request moves to
 * another one, up to four sends (two attempts at each of two engines). Half of the responses have
 * started when the engine crashes.
 */
class TestQuarantineFalsePositives {
  private static final int RUNS = 200;
  private static final int ENGINES = 18;
  private static final int REQUESTS_PER_ENGINE = 10;
  private static final int MAX_SENDS = 4;
  private static final long CRASH_INTERVAL_MS = 200;
  private static final RequestFingerprint BAD = new RequestFingerprint(0, "bad");

  private static final class InnocentRequest {
    final RequestFingerprint fingerprint;
    int sends = 1;

    InnocentRequest(int number) {
      this.fingerprint = new RequestFingerprint(number, "innocent-" + number);
    }
  }

  /** {@code innocents} requests were generated; {@code falsePositives} of them were quarantined. */
  private record Outcome(int crashes, int innocents, int falsePositives, boolean badFound) {}

  private final CrashCauseDetector detector = new CrashCauseDetector();
  private final List<List<InnocentRequest>> engines = new ArrayList<>();
  private final Set<RequestFingerprint> quarantined = new HashSet<>();
  private final Set<RequestFingerprint> everQuarantined = new HashSet<>();
  private SplittableRandom random;
  private int innocents;
  private int crashes;

  private long nowMs() {
    return crashes * CRASH_INTERVAL_MS;
  }

  private void reset(long seed) {
    random = new SplittableRandom(seed);
    detector.clear();
    engines.clear();
    quarantined.clear();
    everQuarantined.clear();
    innocents = 0;
    crashes = 0;
    for (int engine = 0; engine < ENGINES; engine++) {
      engines.add(new ArrayList<>());
      fillEngine(engine);
    }
  }

  private void fillEngine(int engine) {
    while (engines.get(engine).size() < REQUESTS_PER_ENGINE) {
      engines.get(engine).add(new InnocentRequest(++innocents));
    }
  }

  /** Crashes an engine and sends its requests to other engines. */
  private void crash(int engine, boolean causedByBad) {
    String instance = engine + "@" + ++crashes;
    if (causedByBad) {
      detector.add(new EngineEnd(instance, BAD, false), nowMs());
    }
    List<InnocentRequest> interrupted = engines.set(engine, new ArrayList<>());
    for (InnocentRequest request : interrupted) {
      detector.add(new EngineEnd(instance, request.fingerprint, random.nextBoolean()), nowMs());
      if (++request.sends <= MAX_SENDS) {
        engines.get(random.nextInt(ENGINES)).add(request);
      }
    }
    fillEngine(engine);
    List<RequestFingerprint> causes = detector.causes(quarantined::contains);
    quarantined.removeIf(request -> detector.isExonerated(request, causes));
    quarantined.addAll(causes);
    everQuarantined.addAll(causes);
  }

  /** Completes a third of the requests on average. */
  private void completeSomeRequests() {
    for (List<InnocentRequest> engine : engines) {
      engine.removeIf(
          request -> {
            boolean served = random.nextInt(3) == 0;
            if (served) {
              detector.onServed(request.fingerprint, nowMs());
            }
            return served;
          });
    }
    for (int engine = 0; engine < ENGINES; engine++) {
      fillEngine(engine);
    }
  }

  private Outcome run(long seed, int crashCount, int badPercent) {
    reset(seed);
    for (int count = 0; count < crashCount; count++) {
      boolean causedByBad = !quarantined.contains(BAD) && random.nextInt(100) < badPercent;
      crash(random.nextInt(ENGINES), causedByBad);
      completeSomeRequests();
    }
    boolean badFound = quarantined.contains(BAD);
    everQuarantined.remove(BAD);
    return new Outcome(crashes, innocents, everQuarantined.size(), badFound);
  }

  @Test
  void fewFalsePositivesWithoutCause() {
    long falsePositives = 0;
    long allInnocents = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      Outcome outcome = run(seed, 60, 0);
      falsePositives += outcome.falsePositives();
      allInnocents += outcome.innocents();
    }
    System.out.printf(
        "60 unrelated crashes: %d of %d innocent requests quarantined%n",
        falsePositives, allInnocents);
    assertThat(falsePositives * 1_000).as("less than one in a thousand").isLessThan(allInnocents);
  }

  @Test
  void findsCauseAmongOtherCrashes() {
    long falsePositives = 0;
    long allInnocents = 0;
    int runsWithCauseFound = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      Outcome outcome = run(seed, 30, 50);
      falsePositives += outcome.falsePositives();
      allInnocents += outcome.innocents();
      runsWithCauseFound += outcome.badFound() ? 1 : 0;
    }
    System.out.printf(
        "30 crashes, half from one request: found in %d of %d runs, %d of %d innocents quarantined%n",
        runsWithCauseFound, RUNS, falsePositives, allInnocents);
    assertThat(runsWithCauseFound).isEqualTo(RUNS);
    assertThat(falsePositives * 1_000).as("less than one in a thousand").isLessThan(allInnocents);
  }
}
