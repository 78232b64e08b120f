package io.pathdeck.common.events;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TestEventCounts {
  private static final EventLog EVENTS = EventLog.of(TestEventCounts.class);

  @Test
  void eventsAreCountedAlsoWhenTheirLinesAreLeftOut() {
    long happenedBefore = EventCounts.SHARED.happened(EventCode.STREAM_RESUMED);
    long leftOutBefore = EventCounts.SHARED.linesLeftOut();
    int events = 5 * LineBudget.LINES_PER_SECOND;
    for (int i = 0; i < events; i++) {
      EVENTS.log(EventCode.STREAM_RESUMED, "request", i);
    }
    assertThat(EventCounts.SHARED.happened(EventCode.STREAM_RESUMED) - happenedBefore)
        .isEqualTo(events);
    assertThat(EventCounts.SHARED.linesLeftOut() - leftOutBefore).isPositive();
  }
}
