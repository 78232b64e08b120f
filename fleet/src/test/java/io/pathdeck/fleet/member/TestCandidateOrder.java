package io.pathdeck.fleet.member;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class TestCandidateOrder {
  private static final List<String> CANDIDATES = List.of("a", "b", "c");

  @Test
  void processesBeginAtDifferentCandidates() {
    Map<String, Integer> processCountByCandidate = new HashMap<>();
    for (int i = 0; i < 18; i++) {
      processCountByCandidate.merge(
          CandidateOrder.forProcess("gateway-" + i).current(CANDIDATES), 1, Integer::sum);
    }
    assertThat(processCountByCandidate).hasSize(CANDIDATES.size());
    assertThat(processCountByCandidate.values()).allMatch(processes -> processes >= 4);
  }

  @Test
  void advancesThroughAllCandidates() {
    CandidateOrder order = CandidateOrder.forProcess("gateway-1");
    String first = order.current(CANDIDATES);
    order.advance();
    String second = order.current(CANDIDATES);
    order.advance();
    String third = order.current(CANDIDATES);
    order.advance();
    assertThat(List.of(first, second, third)).containsExactlyInAnyOrderElementsOf(CANDIDATES);
    assertThat(order.current(CANDIDATES)).isEqualTo(first);
  }

  @Test
  void returnsEmptyWithoutCandidates() {
    assertThat(CandidateOrder.fromFirst().current(List.of())).isEmpty();
  }
}
