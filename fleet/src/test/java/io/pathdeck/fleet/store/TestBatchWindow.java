package io.pathdeck.fleet.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.adapter.EngineLoadReport;
import io.pathdeck.fleet.engine.EngineState;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.protocol.fleet.EngineInstance;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestBatchWindow {
  private static final long REPORT_HALF_LIFE_MS = 500;
  private static final long NOW_MS = 1_000;
  private static final long LONG_SLACK_MS = 12_000;
  private static final long SOME_SLACK_MS = 6_000;
  private static final long SHORT_SLACK_MS = 1_000;
  private static final long PAST_DUE_MS = -1;

  private final BatchWindow window = new BatchWindow();
  private final EngineState engine = engine();

  private static EngineState engine() {
    EngineTable table = new EngineTable(REPORT_HALF_LIFE_MS);
    table.update(Map.of("e", new EngineInstance("e", "s", "h:1", "z", 12, false)));
    return table.find("e");
  }

  private int itemsThatFit(long slackMs) {
    return itemsThatFit(slackMs, false);
  }

  private int itemsThatFit(long slackMs, boolean slow) {
    int items = 0;
    while (window.hasRoom(engine, slow, ItemUrgency.of(slackMs), 1, NOW_MS)) {
      engine.onStart(NOW_MS);
      items++;
    }
    for (int i = 0; i < items; i++) {
      engine.onEnd();
    }
    return items;
  }

  @Test
  void itemsTakeHalfOfTheSlotsAndMoreWhenTheyCannotWait() {
    assertThat(itemsThatFit(LONG_SLACK_MS)).isEqualTo(6);
    assertThat(itemsThatFit(SOME_SLACK_MS)).isEqualTo(6);
    assertThat(itemsThatFit(SHORT_SLACK_MS)).isEqualTo(9);
    assertThat(itemsThatFit(PAST_DUE_MS)).isEqualTo(6);
  }

  @Test
  void noItemStartsWhereOnlineRequestsNeedTheSlots() {
    engine.onLoad(new EngineLoadReport(10, 0, 12), NOW_MS);
    assertThat(itemsThatFit(LONG_SLACK_MS)).isZero();
  }

  @Test
  void itemsYieldWhereRequestsWait() {
    assertThat(window.yields(new EngineLoadReport(12, 0, 12), false)).isZero();
    assertThat(window.yields(new EngineLoadReport(12, 1, 12), false)).isEqualTo(1);
    assertThat(window.yields(new EngineLoadReport(12, 2, 12), false)).isEqualTo(2);
    assertThat(window.yields(new EngineLoadReport(12, 50, 12), false)).isEqualTo(3);
    assertThat(mayYield(LONG_SLACK_MS)).isTrue();
    assertThat(mayYield(SOME_SLACK_MS)).isTrue();
    assertThat(mayYield(SHORT_SLACK_MS)).isFalse();
  }

  @Test
  void itemsTakeMoreOfSlowEnginesAndYieldThereLater() {
    assertThat(itemsThatFit(LONG_SLACK_MS, true)).isEqualTo(9);
    assertThat(itemsThatFit(SHORT_SLACK_MS, true)).isEqualTo(9);
    assertThat(window.yields(new EngineLoadReport(12, 1, 12), true)).isZero();
    assertThat(window.yields(new EngineLoadReport(12, 2, 12), true)).isEqualTo(2);
    engine.onLoad(new EngineLoadReport(9, 0, 12), NOW_MS);
    assertThat(itemsThatFit(LONG_SLACK_MS, true)).as("online requests keep a quarter").isZero();
  }

  /** After a loss of power late items took three quarters of all slots and never yielded. */
  @Test
  void itemThatCannotBeInTimeAnyMoreYieldsAndStartsLast() {
    assertThat(mayYield(PAST_DUE_MS)).isTrue();
    assertThat(ItemUrgency.of(PAST_DUE_MS)).isGreaterThan(ItemUrgency.of(LONG_SLACK_MS));
    assertThat(ItemUrgency.of(LONG_SLACK_MS)).isGreaterThan(ItemUrgency.of(SHORT_SLACK_MS));
  }

  @Test
  void urgentItemYieldsOnlyWhereOnlineRequestsOverrunTheEngine() {
    assertThat(mayYield(SHORT_SLACK_MS, 5)).isFalse();
    assertThat(mayYield(SHORT_SLACK_MS, 6)).isTrue();
  }

  /** After a loss of power 44 items started at once on engines that were still full. */
  @Test
  void noItemStartsAtOnceOnAnEngineThatHasNotToldItsLoad() {
    assertThat(window.knowsLoad(engine, 100, NOW_MS)).isFalse();
    engine.onLoad(new EngineLoadReport(3, 0, 12), NOW_MS);
    assertThat(window.knowsLoad(engine, 100, NOW_MS + 300)).isTrue();
  }

  @Test
  void engineThatTellsNoLoadGetsItemsAfterAWhile() {
    assertThat(window.knowsLoad(engine, 1_499, NOW_MS)).isFalse();
    assertThat(window.knowsLoad(engine, 1_500, NOW_MS)).isTrue();
  }

  private boolean mayYield(long slackMs) {
    return mayYield(slackMs, 2);
  }

  private boolean mayYield(long slackMs, int waiting) {
    return window.mayYield(ItemUrgency.of(slackMs), new EngineLoadReport(12, waiting, 12));
  }

  /**
   * All unfinished items of a new leader wait at once, and after a loss of power all callers do.
   */
  @Test
  void newLeaderStartsItemsByAndBy() {
    assertThat(window.shareAfter(0)).isZero();
    assertThat(window.shareAfter(2_000)).isEqualTo(0.5);
    assertThat(window.shareAfter(60_000)).isEqualTo(1);
    engine.onStart(NOW_MS);
    assertThat(window.hasRoom(engine, false, ItemUrgency.PATIENT, 0.1, NOW_MS)).isFalse();
    engine.onEnd();
    assertThat(window.hasRoom(engine, false, ItemUrgency.PATIENT, 0, NOW_MS)).isTrue();
  }
}
