package io.pathdeck.testkit.sim;

import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.protocol.query.ReadJob;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** One simulated run: a fleet, its callers, faults for a while, then peace and the last checks. */
public final class SimRun {
  private static final long BOOT_MS = 6_000;
  private static final long FAULTS_MS = 30_000;
  private static final long SETTLE_MS = 20_000;
  private static final long FINAL_MS = 20_000;
  private static final long STEP_MS = 500;
  private static final int OPERATORS = 3;
  private static final int JOBS = 8;
  private static final int MAX_ITEMS = 24;
  private static final int LARGE_JOB_ITEMS = 200;
  private static final long MANY_CHANGES_PAUSE_MS = 30;
  private static final long CHANGES_PAUSE_MS = 400;
  private static final long ONLINE_INTERVAL_MS = 60;

  private final long seed;
  private final Scenario scenario;
  private final Simulation simulation;
  private final Oracle oracle;
  private final SimFleet fleet;
  private final List<OperatorActor> operators = new ArrayList<>();
  private final List<JobActor> jobs = new ArrayList<>();
  private final OnlineActor online;
  private final FaultInjector faults;
  private boolean declared;
  private boolean finalRead;

  /** Prepares a run. */
  public SimRun(long seed, Scenario scenario, Defect defect) {
    this.seed = seed;
    this.scenario = scenario;
    this.simulation = new Simulation(seed);
    this.oracle = new Oracle(simulation);
    this.fleet = new SimFleet(simulation, oracle, defect, FleetShape.FAULTS);
    boolean manyChanges = scenario == Scenario.MANY_CHANGES;
    for (int i = 1; i <= OPERATORS; i++) {
      long pauseMs = manyChanges ? MANY_CHANGES_PAUSE_MS : CHANGES_PAUSE_MS;
      operators.add(new OperatorActor(fleet, "operator-" + i, pauseMs));
    }
    this.online = new OnlineActor(fleet, ONLINE_INTERVAL_MS);
    this.faults = new FaultInjector(fleet, scenario, new OperatorActor(fleet, "drainer", 400));
  }

  /**
   * How a run ended.
   *
   * @param digest identifies everything that happened
   */
  public record Outcome(
      long seed,
      Scenario scenario,
      long digest,
      List<String> violations,
      Map<String, Integer> faults,
      int answered) {
    /** Whether every promise held. */
    public boolean isClean() {
      return violations.isEmpty();
    }
  }

  /** Runs to the end. */
  public Outcome run() {
    fleet.start();
    operators.get(0).declareFleet(() -> declared = true);
    simulation.runForMs(BOOT_MS);
    operators.forEach(OperatorActor::run);
    for (int i = 0; i < JOBS; i++) {
      int items = i == 0 ? LARGE_JOB_ITEMS : 1 + simulation.random().nextInt(MAX_ITEMS);
      JobActor job = new JobActor(fleet, i, items);
      jobs.add(job);
      simulation.scheduleMs(simulation.between(0, FAULTS_MS * 3 / 4), job::run);
    }
    online.run();
    faults.run();
    runWithFaults();
    faults.stopAndHeal();
    operators.forEach(OperatorActor::stop);
    online.stop();
    settle();
    checkFinally();
    return outcome();
  }

  private void runWithFaults() {
    for (long elapsed = 0;
        elapsed < FAULTS_MS && oracle.violations().isEmpty();
        elapsed += STEP_MS) {
      simulation.runForMs(STEP_MS);
    }
  }

  private void settle() {
    for (long elapsed = 0;
        elapsed < SETTLE_MS && oracle.violations().isEmpty();
        elapsed += STEP_MS) {
      simulation.runForMs(STEP_MS);
      // A process that died by itself while faults ended is started again.
      fleet.processes().forEach(SimProcess::start);
    }
  }

  private void checkFinally() {
    if (!oracle.violations().isEmpty()) {
      return;
    }
    operators
        .get(0)
        .readFinally(
            read -> {
              finalRead = true;
              oracle.onFinalDeclaration(
                  read.version(),
                  read.declaration().tenants().stream()
                      .map(TenantSpec::name)
                      .collect(Collectors.toSet()));
            });
    jobs.forEach(JobActor::checkFinally);
    int answeredBefore = online.answered();
    online.sendOne();
    boolean settled = false;
    for (long elapsed = 0; elapsed < FINAL_MS && !settled; elapsed += STEP_MS) {
      simulation.runForMs(STEP_MS);
      settled =
          finalRead
              && online.answered() > answeredBefore
              && jobs.stream().allMatch(JobActor::isSettled);
    }
    if (!settled && oracle.violations().isEmpty()) {
      reportStuck(answeredBefore);
    }
    checkReplicas();
  }

  private void reportStuck(int answeredBefore) {
    String unsettled =
        jobs.stream()
            .filter(job -> !job.isSettled())
            .map(this::describe)
            .collect(Collectors.joining(" "));
    oracle.violation(
        Promise.PROGRESS_AFTER_FAULTS,
        "declared "
            + declared
            + ", read "
            + finalRead
            + ", online "
            + (online.answered() > answeredBefore)
            + ", jobs not ended: "
            + unsettled);
  }

  private String describe(JobActor job) {
    ReadJob read = new ReadJob(job.jobId(), SimFleet.TENANT);
    return fleet
        .leaderOf(job.partition())
        .map(leader -> leader.groups().get(job.partition()).stateMachine().query(read).toString())
        .orElse(job.jobId() + " without a leader");
  }

  /** Replicas that have applied the same entries have the same state. */
  private void checkReplicas() {
    Map<String, Integer> stateByIndex = new HashMap<>();
    for (SimController controller : fleet.controllers()) {
      controller
          .groups()
          .forEach(
              (group, runtime) -> {
                String position = group + "@" + runtime.appliedIndex();
                int state =
                    java.util.Arrays.hashCode(
                        SimDisk.encode(runtime.stateMachine().captureSnapshot()));
                Integer other = stateByIndex.putIfAbsent(position, state);
                if (other != null && other != state) {
                  oracle.violation(
                      Promise.REPLICAS_AGREE, controller.name + " differs at " + position);
                }
              });
    }
  }

  private Outcome outcome() {
    Map<String, Integer> counts = new HashMap<>();
    faults.counts().forEach((fault, count) -> counts.put(fault.name(), count));
    List<String> texts =
        oracle.violations().stream()
            .map(violation -> violation.promise() + " " + violation.text())
            .toList();
    simulation.trace(texts);
    return new Outcome(seed, scenario, simulation.digest(), texts, counts, online.answered());
  }
}
