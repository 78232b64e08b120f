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
 * A model of engines that end, under a request that ends them and for other reasons, with innocent
 * requests beside: how many of these are held to be a cause.
 *
 * <p>Each request is on one engine at a time; when its engine ends it goes on at another, four
 * times at most (two tries of two engines). Half of them are being answered when their engine ends.
 */
class TestInnocentRequests {
  private static final int RUNS = 200;
  private static final int ENGINES = 18;
  private static final int REQUESTS_ON_AN_ENGINE = 10;
  private static final int MOST_SENDS = 4;
  private static final RequestFingerprint BAD = new RequestFingerprint(0, "bad");

  /** An innocent request and how often it was sent. */
  private static final class Innocent {
    final RequestFingerprint name;
    int sends = 1;

    Innocent(int number) {
      this.name = new RequestFingerprint(number, "innocent-" + number);
    }
  }

  /** What became of one run of the model. */
  private record Outcome(int ends, int innocents, int heldInnocents, boolean badFound) {}

  private final EngineEndLedger ledger = new EngineEndLedger();
  private final List<List<Innocent>> engines = new ArrayList<>();
  private final Set<RequestFingerprint> held = new HashSet<>();
  private final Set<RequestFingerprint> everHeld = new HashSet<>();
  private SplittableRandom random;
  private int innocents;
  private int ends;

  private void start(long seed) {
    random = new SplittableRandom(seed);
    ledger.clear();
    engines.clear();
    held.clear();
    everHeld.clear();
    innocents = 0;
    ends = 0;
    for (int engine = 0; engine < ENGINES; engine++) {
      engines.add(new ArrayList<>());
      fill(engine);
    }
  }

  private void fill(int engine) {
    while (engines.get(engine).size() < REQUESTS_ON_AN_ENGINE) {
      engines.get(engine).add(new Innocent(++innocents));
    }
  }

  /** Ends an engine; its requests go on elsewhere. */
  private void end(int engine, boolean underBad) {
    String life = engine + "@" + ++ends;
    if (underBad) {
      ledger.note(new EngineEnd(life, BAD, false), ends);
    }
    List<Innocent> cut = engines.set(engine, new ArrayList<>());
    for (Innocent request : cut) {
      ledger.note(new EngineEnd(life, request.name, random.nextBoolean()), ends);
      if (++request.sends <= MOST_SENDS) {
        engines.get(random.nextInt(ENGINES)).add(request);
      }
    }
    fill(engine);
    List<RequestFingerprint> causes = ledger.causes(held::contains);
    held.removeIf(request -> ledger.canJudge(request) && !causes.contains(request));
    held.addAll(causes);
    everHeld.addAll(causes);
  }

  /** Some requests are served to their end between two ends of engines. */
  private void serveSome() {
    for (List<Innocent> engine : engines) {
      engine.removeIf(
          request -> {
            boolean served = random.nextInt(3) == 0;
            if (served) {
              ledger.clear(request.name);
            }
            return served;
          });
    }
    for (int engine = 0; engine < ENGINES; engine++) {
      fill(engine);
    }
  }

  private Outcome run(long seed, int endsOfEngines, int badPercent) {
    start(seed);
    for (int count = 0; count < endsOfEngines; count++) {
      boolean underBad = !held.contains(BAD) && random.nextInt(100) < badPercent;
      end(random.nextInt(ENGINES), underBad);
      serveSome();
    }
    boolean badFound = held.contains(BAD);
    everHeld.remove(BAD);
    return new Outcome(ends, innocents, everHeld.size(), badFound);
  }

  @Test
  void innocentsAreSeldomHeldWhenEnginesEndForOtherReasons() {
    long heldInnocents = 0;
    long all = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      Outcome outcome = run(seed, 60, 0);
      heldInnocents += outcome.heldInnocents();
      all += outcome.innocents();
    }
    System.out.printf("60 ends for other reasons: %d of %d innocents held%n", heldInnocents, all);
    assertThat(heldInnocents * 1_000).as("less than one in a thousand").isLessThan(all);
  }

  @Test
  void requestThatEndsEnginesIsFoundBesideEndsForOtherReasons() {
    long heldInnocents = 0;
    long all = 0;
    int found = 0;
    for (int seed = 0; seed < RUNS; seed++) {
      Outcome outcome = run(seed, 30, 50);
      heldInnocents += outcome.heldInnocents();
      all += outcome.innocents();
      found += outcome.badFound() ? 1 : 0;
    }
    System.out.printf(
        "30 ends, half under one request: found in %d of %d runs, %d of %d innocents held%n",
        found, RUNS, heldInnocents, all);
    assertThat(found).isEqualTo(RUNS);
    assertThat(heldInnocents * 1_000).as("less than one in a thousand").isLessThan(all);
  }
}
