package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.ServiceLimits;
import java.util.List;
import org.junit.jupiter.api.Test;

class TestRouteTableValidator {
  private static RouteSpec route(String name, String prefix, long timeoutMs, RouteTarget target) {
    return new RouteSpec(
        name,
        "h",
        prefix,
        RouteKind.SAFE,
        timeoutMs,
        100,
        0,
        List.of(target),
        1,
        false,
        false,
        0,
        0,
        0,
        0,
        false);
  }

  private static RouteTable table(RouteSpec... routes) {
    ServiceLimits service = new ServiceLimits("s", 10, 4, 1_000);
    return new RouteTable(
        1,
        List.of(routes),
        List.of(service),
        CallerLimits.NONE,
        List.of(),
        new byte[0],
        new byte[0]);
  }

  private static final RouteTarget VALID_TARGET = new RouteTarget("s", 1);

  @Test
  void validTableHasNoProblem() {
    assertThat(
            RouteTableValidator.findProblem(
                table(route("a", "/a/", 1, VALID_TARGET), route("b", "/b/", 1, VALID_TARGET))))
        .isEmpty();
  }

  @Test
  void reportsEachProblem() {
    RouteSpec unknownService = route("a", "/a/", 1, new RouteTarget("other", 1));
    assertThat(RouteTableValidator.findProblem(table(unknownService)))
        .hasValueSatisfying(problem -> assertThat(problem).contains("unknown service other"));
    RouteSpec noWeight = route("a", "/a/", 1, new RouteTarget("s", 0));
    assertThat(RouteTableValidator.findProblem(table(noWeight))).isPresent();
    RouteSpec noTimeout = route("a", "/a/", 0, VALID_TARGET);
    assertThat(RouteTableValidator.findProblem(table(noTimeout))).isPresent();
    RouteSpec first = route("a", "/a/", 1, VALID_TARGET);
    RouteSpec sameHostAndPrefix = route("b", "/a/", 1, VALID_TARGET);
    assertThat(RouteTableValidator.findProblem(table(first, sameHostAndPrefix))).isPresent();
    assertThat(RouteTableValidator.findProblem(table(route("a", "/a", 1, VALID_TARGET))))
        .isPresent();
  }
}
