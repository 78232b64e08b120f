package io.pathdeck.testkit.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.pathdeck.dispatch.DispatchPolicy;
import io.pathdeck.testkit.engine.EngineProfile;
import io.pathdeck.testkit.load.LoadPlan;
import io.pathdeck.testkit.load.Prompts;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/** One run of online load beside batch load under one policy, on virtual time. */
public final class HarmExperiment {
  private static final long BOOT_MS = 6_000;
  private static final long WARM_UP_MS = 6_000;
  private static final long MAX_MICROS = 600_000_000L;
  private static final int DIGITS = 3;
  private static final int ITEM_TOKENS = 32;
  private static final int ITEM_PROMPT_TOKENS = 96;

  /** How batch work is placed. */
  public enum Policy {
    ONLINE_ALONE,
    BATCH_ALONE,
    FIFO,
    FIXED_SPLIT,
    PATHDECK
  }

  /** What goes wrong in the middle of the run. */
  public enum Trouble {
    NONE,
    ENGINE_KILLED,
    ENGINE_LEAVING,
    LATE_REPORTS
  }

  /** A deployment's size and load. */
  public record Deployment(
      String name, int zones, int engines, double rate, int burst, long heapIntervalMs) {
    public static final Deployment SOUQ = new Deployment("souq", 3, 8, 12, 10, 8_000);
    public static final Deployment REFUNDNET = new Deployment("refundnet", 4, 13, 20, 10, 9_000);
  }

  /** What a run measured; times in milliseconds. */
  public record Result(
      double firstTokenP50,
      double firstTokenP95,
      double firstTokenP99,
      double gapP95,
      double itemsPerSecond,
      int answered,
      int failed,
      int violations) {}

  private final Deployment deployment;
  private final Policy policy;
  private final Trouble trouble;
  private final long seed;
  private final long measuredMs;
  private final Simulation simulation;
  private final Oracle oracle;
  private final SimFleet fleet;
  private final Histogram firstToken = new Histogram(MAX_MICROS, DIGITS);
  private final Histogram gap = new Histogram(MAX_MICROS, DIGITS);
  private final List<JobActor> jobs = new ArrayList<>();
  private long nextRequestId = 1;
  private int answered;
  private int failed;

  /** Prepares a run. */
  public HarmExperiment(
      Deployment deployment,
      Policy policy,
      Trouble trouble,
      DispatchPolicy dispatchPolicy,
      long seed,
      long measuredMs) {
    this.deployment = deployment;
    this.policy = policy;
    this.trouble = trouble;
    this.seed = seed;
    this.measuredMs = measuredMs;
    this.simulation = new Simulation(seed);
    this.oracle = new Oracle(simulation);
    this.fleet = new SimFleet(simulation, oracle, Defect.NONE, shape(dispatchPolicy));
  }

  private FleetShape shape(DispatchPolicy dispatchPolicy) {
    EngineProfile d = EngineProfile.DEFAULT;
    int lagMs = trouble == Trouble.LATE_REPORTS ? 2_000 : d.loadLagMs();
    EngineProfile profile =
        new EngineProfile(
            d.stepBaseMicros(),
            d.stepPerSequenceMicros(),
            d.contextMicrosPerKiloToken(),
            d.prefillMicrosPerToken(),
            d.prefillChunkTokens(),
            d.maxSequences(),
            d.maxWaiting(),
            d.cacheBlocks(),
            lagMs,
            d.cacheEventLagMs(),
            d.cacheEventGapPercent());
    int slots = 24;
    boolean yields = policy == Policy.PATHDECK || policy == Policy.ONLINE_ALONE;
    DispatchPolicy used =
        yields
            ? dispatchPolicy
            : new DispatchPolicy(slots, 0, slots, 50, 3_000, 100, 200, 8, 20, 256);
    return new FleetShape(
        deployment.zones(),
        deployment.engines(),
        policy == Policy.FIXED_SPLIT ? deployment.engines() / 2 : 0,
        1,
        profile,
        policy != Policy.FIFO,
        used,
        slots);
  }

  /** Runs to the end. */
  public Result run() {
    fleet.start();
    new OperatorActor(fleet, "operator", 400).declareFleet(() -> {});
    simulation.runForMs(BOOT_MS);
    if (policy != Policy.ONLINE_ALONE) {
      scheduleHeaps();
    }
    if (policy != Policy.BATCH_ALONE) {
      scheduleOnline();
    }
    scheduleTrouble();
    simulation.runForMs(WARM_UP_MS);
    long itemsBefore = itemsDone();
    simulation.runForMs(measuredMs);
    double items = itemsDone() - itemsBefore;
    return new Result(
        millis(firstToken, 50),
        millis(firstToken, 95),
        millis(firstToken, 99),
        millis(gap, 95),
        items * 1_000 / measuredMs,
        answered,
        failed,
        oracle.violations().size());
  }

  private static double millis(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1_000.0;
  }

  private long itemsDone() {
    return jobs.stream().mapToLong(JobActor::succeeded).sum();
  }

  /** Heaps of two jobs, large enough to keep all engines busy until the next heap. */
  private void scheduleHeaps() {
    int itemsPerJob = (int) (deployment.engines() * 28L * deployment.heapIntervalMs() / 2_000);
    int number = 0;
    for (long at = 0; at < WARM_UP_MS + measuredMs; at += deployment.heapIntervalMs()) {
      for (int i = 0; i < 2; i++) {
        JobActor job =
            JobActor.ofLoad(fleet, number++, itemsPerJob, ITEM_PROMPT_TOKENS, ITEM_TOKENS);
        jobs.add(job);
        simulation.scheduleMs(at, job::run);
      }
    }
  }

  private void scheduleOnline() {
    LoadPlan.Shape shape =
        new LoadPlan.Shape(
            deployment.zones(),
            deployment.rate(),
            WARM_UP_MS + measuredMs,
            deployment.burst(),
            3_000,
            0,
            0,
            0,
            0);
    for (LoadPlan.Arrival arrival : LoadPlan.arrivals(shape, seed)) {
      simulation.scheduleMs(arrival.atMs(), () -> send(arrival));
    }
  }

  private void send(LoadPlan.Arrival arrival) {
    boolean measured = arrival.atMs() >= WARM_UP_MS;
    ObjectNode body =
        Prompts.chat(
            SimFleet.MODEL,
            arrival.family(),
            "request-" + arrival.number(),
            arrival.promptTokens(),
            arrival.answerTokens(),
            true);
    SimRequest request =
        new SimRequest(
            nextRequestId++,
            body,
            null,
            oracle,
            end -> {
              answered += end == SimRequest.End.ANSWERED ? 1 : 0;
              failed += end == SimRequest.End.ANSWERED ? 0 : 1;
            });
    if (measured) {
      request.measure(simulation, firstToken, gap);
    }
    fleet.nodes().get(arrival.node()).submit(request);
  }

  private void scheduleTrouble() {
    long at = WARM_UP_MS + measuredMs / 3;
    SimEngine victim = fleet.engines().get(fleet.engines().size() - 1);
    if (trouble == Trouble.ENGINE_KILLED) {
      simulation.scheduleMs(at, victim::kill);
      simulation.scheduleMs(at + measuredMs / 3, victim::start);
    } else if (trouble == Trouble.ENGINE_LEAVING) {
      simulation.scheduleMs(at, () -> victim.setLeaving(true));
      simulation.scheduleMs(at + measuredMs / 3, () -> victim.setLeaving(false));
    }
  }
}
