package io.pathdeck.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

class TestLogTime {
  private static final long START_MS = 1_000_000;

  @Property
  void runsForwardAndNeverFasterThanItsRate(
      @ForAll @Size(max = 40) List<@IntRange(max = 5_000) Integer> steps,
      @ForAll @Size(min = 40, max = 40) List<@IntRange(min = -9_000, max = 9_000) Integer> offsets,
      @ForAll @IntRange(max = 60_000) int outageMs) {
    LogTime time = new LogTime();
    time.observe(START_MS);
    long monotonicMs = 0;
    long before = time.next(monotonicMs, START_MS + outageMs);
    for (int i = 0; i < steps.size(); i++) {
      long step = steps.get(i);
      monotonicMs += step;
      long wallMs = START_MS + outageMs + monotonicMs + offsets.get(i);
      long now = time.next(monotonicMs, wallMs);
      assertThat(now - before).isBetween(step, LogTime.MAX_RATE * step);
      before = now;
    }
  }
}
