package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.command.AdvanceTime;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.EndBatch;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.state.BatchStateMachine;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** An ended job stays readable although the time of the log runs faster than real time. */
class TestJobRetention {
  private static final long READABLE_MS = 120_000;
  private static final long IDLE_MS = 200_000;
  private static final long WALL_MS = 1_000_000_000;
  private static final long STEP_MS = 1_000;

  private final BatchStateMachine state = new BatchStateMachine();
  private final LogTime logTime = new LogTime();

  private void apply(Command command, long nowMs) {
    logTime.observe(state.logTimeMs());
    long stampMs = logTime.next(nowMs, WALL_MS + nowMs);
    state.apply(new CommandEnvelope("", 0, stampMs, command));
  }

  @Test
  void endedJobIsReadableAfterALeaderChangeOfAnIdleGroup() {
    apply(new AdvanceTime(), 0);
    logTime.pause();
    BatchItem item = new BatchItem("i", "/", Map.of(), new byte[0], 1, 1);
    apply(new SubmitBatch("j", "t", "r", "h", List.of(item), 3, 1_000, 1_000, 0), IDLE_MS);
    apply(new EndBatch("j", "t"), IDLE_MS);
    for (long ageMs = 0; ageMs <= READABLE_MS; ageMs += STEP_MS) {
      apply(new AdvanceTime(), IDLE_MS + ageMs);
      assertThat(state.job("j")).as("after " + ageMs + " ms").isPresent();
    }
  }
}
