package io.pathdeck.fleet.coordinator;

import static org.assertj.core.api.Assertions.assertThat;

import io.pathdeck.fleet.topology.Topology;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.ServiceLimits;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

  private static Optional<String> findProblem(RouteTable table) {
    return RouteTableValidator.findProblem(table, Topology.UNKNOWN);
  }

  private static final RouteTarget VALID_TARGET = new RouteTarget("s", 1);

  @Test
  void validTableHasNoProblem() {
    assertThat(
            findProblem(
                table(route("a", "/a/", 1, VALID_TARGET), route("b", "/b/", 1, VALID_TARGET))))
        .isEmpty();
  }

  @Test
  void reportsEachProblem() {
    RouteSpec unknownService = route("a", "/a/", 1, new RouteTarget("other", 1));
    assertThat(findProblem(table(unknownService)))
        .hasValueSatisfying(problem -> assertThat(problem).contains("unknown service other"));
    RouteSpec noWeight = route("a", "/a/", 1, new RouteTarget("s", 0));
    assertThat(findProblem(table(noWeight))).isPresent();
    RouteSpec noTimeout = route("a", "/a/", 0, VALID_TARGET);
    assertThat(findProblem(table(noTimeout))).isPresent();
    RouteSpec first = route("a", "/a/", 1, VALID_TARGET);
    RouteSpec sameHostAndPrefix = route("b", "/a/", 1, VALID_TARGET);
    assertThat(findProblem(table(first, sameHostAndPrefix))).isPresent();
    assertThat(findProblem(table(route("a", "/a", 1, VALID_TARGET)))).isPresent();
  }

  private static RouteTable tableAllowing(List<String> ofRoute, List<String> ofTenant) {
    RouteSpec plain = route("a", "/a/", 1, VALID_TARGET);
    RouteSpec route =
        new RouteSpec(
            "a",
            "h",
            "/a/",
            RouteKind.SAFE,
            1,
            100,
            0,
            plain.targets(),
            1,
            false,
            false,
            0,
            0,
            0,
            0,
            false,
            ofRoute);
    return new RouteTable(
        1,
        List.of(route),
        List.of(new ServiceLimits("s", 10, 4, 1_000)),
        CallerLimits.NONE,
        List.of(new CallerTenant("t", List.of(), 0, 0, 0, ofTenant)),
        new byte[0],
        new byte[0]);
  }

  @Test
  void regionsMustBeKnown() {
    Topology topology = Topology.of(Map.of("z1", "north", "z2", "east"));
    RouteTable known = tableAllowing(List.of("north"), List.of("north", "east"));
    assertThat(RouteTableValidator.findProblem(known, topology)).isEmpty();
    assertThat(RouteTableValidator.findProblem(tableAllowing(List.of("nort"), List.of()), topology))
        .hasValueSatisfying(problem -> assertThat(problem).contains("unknown region nort"));
    assertThat(
            RouteTableValidator.findProblem(tableAllowing(List.of(), List.of("south")), topology))
        .hasValueSatisfying(problem -> assertThat(problem).contains("unknown region south"));
    assertThat(findProblem(tableAllowing(List.of("nort"), List.of()))).isEmpty();
  }
}
