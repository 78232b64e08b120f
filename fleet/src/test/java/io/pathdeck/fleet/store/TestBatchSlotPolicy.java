package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestBatchSlotPolicy {
  private static final long REPORT_HALF_LIFE_MS = 500;
  private static final long NOW_MS = 1_000;
  private static final long LONG_SLACK_MS = 12_000;
  private static final long SHORT_SLACK_MS = 1_000;
  private static final long NEGATIVE_SLACK_MS = -1;

  private final BatchSlotPolicy policy = new BatchSlotPolicy();
  private final EngineState engine = engine();

  private static EngineState engine() {
    EngineTable table = new EngineTable(REPORT_HALF_LIFE_MS);
    table.update(Map.of("e", new EngineInstance("e", "s", "h:1", "z", 12, false)));
    return table.find("e");
  }

  private int startableItems() {
    int items = 0;
    while (policy.hasFreeSlot(engine, 1, BatchSlotPolicy.RESERVED_SHARE, NOW_MS)) {
      engine.onStart(NOW_MS);
      items++;
    }
    for (int i = 0; i < items; i++) {
      engine.onEnd();
    }
    return items;
  }

  @Test
  void idleEngineKeepsReservedSlotsFree() {
    assertThat(startableItems()).isEqualTo(11);
  }

  @Test
  void itemsTakeUnusedSlots() {
    engine.onLoadReport(new EngineLoadReport(4, 0, 12), NOW_MS);
    assertThat(startableItems()).isEqualTo(7);
  }

  @Test
  void noItemStartsOnBusyEngine() {
    engine.onLoadReport(new EngineLoadReport(11, 0, 12), NOW_MS);
    assertThat(startableItems()).isZero();
  }

  private int yieldCount(int running, int waiting, boolean slow) {
    return policy.yieldCount(engine, new EngineLoadReport(running, waiting, 12), slow);
  }

  @Test
  void itemsYieldToRequestsWithoutSlot() {
    assertThat(yieldCount(12, 0, false)).isZero();
    assertThat(yieldCount(12, 1, false)).isEqualTo(1);
    assertThat(yieldCount(12, 2, false)).isEqualTo(2);
    assertThat(yieldCount(12, 50, false)).isEqualTo(50);
  }

  /** Engines count a request as waiting until its prefill is done, even if it has a slot. */
  @Test
  void noItemYieldsWhileSlotsAreFree() {
    assertThat(yieldCount(8, 4, false)).isZero();
    assertThat(yieldCount(10, 4, false)).isEqualTo(2);
  }

  @Test
  void itemsYieldLaterOnSlowEngines() {
    assertThat(yieldCount(12, 1, true)).isZero();
    assertThat(yieldCount(12, 2, true)).isEqualTo(2);
  }

  /** Guards against late items that take most slots after a power failure. */
  @Test
  void lateItemsStartLast() {
    assertThat(ItemUrgency.of(NEGATIVE_SLACK_MS)).isGreaterThan(ItemUrgency.of(LONG_SLACK_MS));
    assertThat(ItemUrgency.of(LONG_SLACK_MS)).isGreaterThan(ItemUrgency.of(SHORT_SLACK_MS));
  }

  /** Guards against items that start on full engines after a power failure. */
  @Test
  void waitsForFirstLoadReport() {
    assertThat(policy.isLoadKnown(engine, 100, NOW_MS)).isFalse();
    engine.onLoadReport(new EngineLoadReport(3, 0, 12), NOW_MS);
    assertThat(policy.isLoadKnown(engine, 100, NOW_MS + 300)).isTrue();
  }

  @Test
  void waitForLoadReportIsBounded() {
    assertThat(policy.isLoadKnown(engine, 1_499, NOW_MS)).isFalse();
    assertThat(policy.isLoadKnown(engine, 1_500, NOW_MS)).isTrue();
  }

  /**
   * A new leader has all unfinished items to start, and after a power failure all callers retry.
   */
  @Test
  void newLeaderRampsUp() {
    assertThat(policy.rampUpShare(0)).isZero();
    assertThat(policy.rampUpShare(2_000)).isEqualTo(0.5);
    assertThat(policy.rampUpShare(60_000)).isEqualTo(1);
    engine.onStart(NOW_MS);
    assertThat(policy.hasFreeSlot(engine, 0.05, BatchSlotPolicy.RESERVED_SHARE, NOW_MS)).isFalse();
    engine.onEnd();
    assertThat(policy.hasFreeSlot(engine, 0, BatchSlotPolicy.RESERVED_SHARE, NOW_MS)).isTrue();
  }
}
