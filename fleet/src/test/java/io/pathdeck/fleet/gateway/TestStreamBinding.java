package io.pathdeck.fleet.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against records of engines that were asked for a stream and did not begin it. */
class TestStreamBinding {
  private static final StreamOrigin V1 = new StreamOrigin("s", "v1");
  private static final StreamOrigin V2 = new StreamOrigin("s", "v2");

  private final List<StreamOrigin> recorded = new ArrayList<>();

  private static RouteSpec route(boolean resumable) {
    List<RouteTarget> targets = List.of(new RouteTarget("s", 1));
    return new RouteSpec(
        "r",
        "h",
        "/",
        RouteKind.STREAM,
        1_000,
        0,
        0,
        targets,
        2,
        false,
        resumable,
        0,
        0,
        0,
        0,
        true);
  }

  private StreamBinding begin(boolean resumable) {
    CallerRequest.Routed request =
        new CallerRequest.Routed(
            "id", "h", "/", 0, -1, "", 0, 0, List.of(), "", new DefaultHttpHeaders());
    return StreamBinding.ofNew(
        (stream, origin, of) -> recorded.add(origin),
        new StreamMetrics(),
        route(resumable),
        request,
        "tenant");
  }

  private static EngineInstance engineOf(StreamOrigin origin) {
    return new EngineInstance("e", origin.service(), "h:1", "z", 8, false)
        .withSoftwareVersion(origin.softwareVersion());
  }

  @Test
  void onlyTheFirstEventTellsWhereAStreamBegins() {
    StreamBinding binding = begin(true);
    binding.onSend();
    binding.onSend();
    assertThat(recorded).isEmpty();
    assertThat(binding.origin()).isEmpty();
    binding.onEvents(engineOf(V2));
    assertThat(recorded).containsExactly(V2);
    binding.onEvents(engineOf(V2));
    assertThat(recorded).hasSize(1);
  }

  @Test
  void streamThatGoesOnExtendsItsRecord() {
    StreamBinding binding =
        StreamBinding.ofResumed(
            (stream, origin, of) -> recorded.add(origin),
            new StreamMetrics(),
            route(true),
            new StreamOriginRecord(7, V1, 1_000));
    binding.onSend();
    assertThat(recorded).containsExactly(V1);
  }

  @Test
  void streamThatMayNotGoOnIsNotRecorded() {
    StreamBinding binding = begin(false);
    binding.onEvents(engineOf(V1));
    assertThat(recorded).isEmpty();
  }
}
