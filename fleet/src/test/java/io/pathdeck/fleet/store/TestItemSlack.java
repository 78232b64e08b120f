package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.state.BatchStateMachine;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/**
 * Computes the slack of an item that is due 18 s after submission and runs 3.4 s at median pace.
 */
class TestItemSlack {
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

  private static final long RUN_TARGET_MS = 18_000;
  private static final long RETAIN_MS = 60_000;
  private static final long OUTPUT_TOKENS = 1_000;
  private static final int COMPLETED_ITEMS = 400;
  private static final double SLOW_RELATIVE_PACE = 2.7;

  private final BatchStateMachine machine = new BatchStateMachine();
  private final BatchItem item = new BatchItem("i", "/p", Map.of(), new byte[0], 100, 1_000);
  private long logTimeMs;
  private final ItemSlack slack = new ItemSlack(() -> logTimeMs);

  TestItemSlack() {
    SubmitBatch job =
        new SubmitBatch("j", "", "r", "h", List.of(item), 3, RUN_TARGET_MS, RETAIN_MS, 0);
    machine.apply(new CommandEnvelope("", 0, 1, job));
    logTimeMs = run().job.submittedAtMs();
    for (int i = 0; i < COMPLETED_ITEMS; i++) {
      ItemRun completedRun = run();
      completedRun.onStart(
          new ItemStream(ORIGIN, -1, outcome -> {}), engine(), SLOW_RELATIVE_PACE, 0);
      slack.onItemCompleted(completedRun, Math.round(3_400 * SLOW_RELATIVE_PACE));
    }
  }

  private ItemRun run() {
    return run("j");
  }

  private ItemRun run(String job) {
    return new ItemRun(machine.job(job).orElseThrow(), item, 0, 1);
  }

  private static EngineState engine() {
    EngineTable table = new EngineTable(500);
    table.update(Map.of("e", new EngineInstance("e", "s", "h:1", "z", 8, false)));
    return table.find("e");
  }

  @Test
  void runTimesAreNormalizedByPace() {
    assertThat(item.outputTokens()).isEqualTo(OUTPUT_TOKENS);
    assertThat(slack.slackMs(run(), 0)).isBetween(14_590L, 14_610L);
    assertThat(slack.slackMs(run(), SLOW_RELATIVE_PACE, 0)).isBetween(8_810L, 8_830L);
  }

  @Test
  void lateItemCanBeOnTimeElsewhere() {
    ItemRun run = run();
    run.onStart(new ItemStream(ORIGIN, -1, outcome -> {}), engine(), 1, 0);
    logTimeMs += RUN_TARGET_MS - 6_000;
    assertThat(slack.canBeOnTimeElsewhere(run, 0)).as("pace not known").isFalse();
    run.setRelativePace(SLOW_RELATIVE_PACE);
    assertThat(slack.canBeOnTimeElsewhere(run, 0)).isTrue();
    logTimeMs += 2_500;
    assertThat(slack.canBeOnTimeElsewhere(run, 0)).as("too late for a move").isFalse();
  }

  /** Guards against late items that start last and yield first until they are given up. */
  @Test
  void lateItemAboutToExpireIsUrgentAgain() {
    logTimeMs += RETAIN_MS - 14_000;
    assertThat(slack.urgency(run(), 0)).isEqualTo(ItemUrgency.LATE);
    logTimeMs += 7_500;
    assertThat(slack.slackMs(run(), 0)).as("of 6,500 ms").isBetween(3_090L, 3_110L);
    assertThat(slack.urgency(run(), 0)).isEqualTo(ItemUrgency.URGENT);
    logTimeMs += 5_000;
    assertThat(slack.urgency(run(), 0)).as("too late").isEqualTo(ItemUrgency.LATE);
  }

  /** Guards against items that wait until they are late since they expire a little later. */
  @Test
  void itemThatExpiresSoonAfterItIsDueIsUrgentInTime() {
    long retainMs = RUN_TARGET_MS + 5_000;
    machine.apply(
        new CommandEnvelope(
            "",
            0,
            1,
            new SubmitBatch("short", "", "r", "h", List.of(item), 3, RUN_TARGET_MS, retainMs, 0)));
    logTimeMs += RUN_TARGET_MS - 5_000;
    assertThat(slack.slackMs(run("short"), 0)).isBetween(1_590L, 1_610L);
    assertThat(slack.urgency(run("short"), 0)).isEqualTo(ItemUrgency.URGENT);
  }

  @Test
  void inheritedEventsReduceUrgency() {
    BatchProgress progress = new BatchProgress("j", "i", ORIGIN, -1, 99, "recorded\n", false);
    machine.apply(new CommandEnvelope("", 0, 2, new RecordBatchProgress(List.of(progress))));
    logTimeMs += RUN_TARGET_MS - 5_000;
    for (int i = 0; i < 30; i++) {
      recordEventTime();
    }
    assertThat(slack.slackMs(run(), 0)).as("600 of 3,400 ms are left").isBetween(4_300L, 4_500L);
    assertThat(slack.urgency(run(), 0)).isEqualTo(ItemUrgency.DEFERRABLE);
  }

  /** Records 25 events in 700 ms. */
  private void recordEventTime() {
    ItemRun otherRun = run();
    otherRun.onStart(new ItemStream(ORIGIN, 99, outcome -> {}), engine(), 1, 0);
    otherRun.appendEvents(new ItemEvents(ORIGIN, 99, 100, "first"));
    slack.onEvents(otherRun, 100);
    otherRun.appendEvents(new ItemEvents(ORIGIN, 100, 125, "more"));
    slack.onEvents(otherRun, 800);
  }
}
