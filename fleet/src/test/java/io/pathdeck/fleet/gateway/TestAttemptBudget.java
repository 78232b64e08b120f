package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestAttemptBudget {
  private static final int MAX_SENDS = 4;

  private static RouteSpec route(RouteKind kind, int maxAttempts, boolean resumable) {
    return new RouteSpec(
        "r",
        "h",
        "/p/",
        kind,
        1_000,
        100,
        0,
        List.of(new RouteTarget("s", 1)),
        maxAttempts,
        false,
        resumable,
        0,
        0,
        0,
        0,
        false);
  }

  @Test
  void unrepeatableRequestIsNotRetried() {
    for (RouteKind kind : List.of(RouteKind.UNSAFE, RouteKind.STREAM)) {
      AttemptBudget budget = new AttemptBudget(route(kind, 3, false), MAX_SENDS);
      budget.onSend("e");
      assertThat(budget.mayRetry()).isFalse();
      assertThat(budget.mayHaveRun()).isTrue();
    }
  }

  @Test
  void refusedRequestMayBeRetried() {
    AttemptBudget budget = new AttemptBudget(route(RouteKind.UNSAFE, 1, false), MAX_SENDS);
    budget.onSend("e");
    budget.onNotRun();
    assertThat(budget.mayRetry()).isTrue();
    assertThat(budget.mayHaveRun()).isFalse();
  }

  @Test
  void runsAreBoundedByMaxAttempts() {
    AttemptBudget budget = new AttemptBudget(route(RouteKind.STREAM, 2, true), MAX_SENDS);
    budget.onSend("e");
    assertThat(budget.mayRetry()).isTrue();
    budget.onSend("e");
    assertThat(budget.mayRetry()).isFalse();
  }

  @Test
  void sendsAreBounded() {
    AttemptBudget budget = new AttemptBudget(route(RouteKind.SAFE, 2, false), MAX_SENDS);
    for (int i = 0; i < MAX_SENDS; i++) {
      assertThat(budget.mayRetry()).isTrue();
      budget.onSend("e");
      budget.onNotRun();
    }
    assertThat(budget.mayRetry()).isFalse();
  }
}
