package io.pathdeck.fleet.origin;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.pathdeck.common.http.EventLoops;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.fleet.origin.StreamOrigins.Resolution;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.transport.FrameCompression;
import io.pathdeck.protocol.transport.FrameMeter;
import io.pathdeck.protocol.transport.TransportTls;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class TestStreamOrigins {
  private static final RouteSpec ROUTE = route(1_000);

  private static RouteSpec route(long timeoutMs) {
    return new RouteSpec(
        "r",
        "h",
        "/",
        RouteKind.STREAM,
        timeoutMs,
        0,
        0,
        List.of(new RouteTarget("s", 1)),
        2,
        false,
        true,
        0,
        0,
        0,
        0,
        true);
  }

  private final EventLoopGroup eventLoops = EventLoops.create(1);
  private final EventLoop eventLoop = eventLoops.next();
  private final SoftwareVersions versions = new SoftwareVersions();
  private final PeerPool pool =
      new PeerPool(eventLoops, TransportTls.NONE, FrameCompression.OFF, address -> FrameMeter.NONE);
  private final StreamOrigins origins =
      new StreamOrigins(eventLoop, pool, "self", versions, () -> true);

  @AfterEach
  void stop() {
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }

  private void list(String... softwareVersions) {
    listAgo(0, softwareVersions);
  }

  private void listAgo(long agoMs, String... softwareVersions) {
    List<EngineInstance> engines =
        List.of(softwareVersions).stream()
            .map(each -> engine(each).withSoftwareVersion(each))
            .toList();
    long nowMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    versions.onView(engines, List.of(), List.of(), nowMs - agoMs);
  }

  private static EngineInstance engine(String id) {
    return new EngineInstance(id, "s", "h:1", "z", 8, false);
  }

  private Resolution resolve(long stream) throws Exception {
    return resolve(stream, ROUTE);
  }

  private Resolution resolve(long stream, RouteSpec route) throws Exception {
    CompletableFuture<Resolution> resolution = new CompletableFuture<>();
    eventLoop.execute(() -> origins.resolve(stream, route, resolution::complete));
    return resolution.get(5, TimeUnit.SECONDS);
  }

  @Test
  void recordOfOneCallerThatNamesNoAttemptDoesNotServeTheNext() throws Exception {
    long unnamed = StreamOrigins.streamOf("tenant", "");
    list("v1");
    assertThat(resolve(unnamed)).isInstanceOf(Resolution.Known.class);
    origins.record(unnamed, new StreamOrigin("s", "v1"), ROUTE);
    list("v1", "v2");
    assertThat(resolve(unnamed)).isEqualTo(new Resolution.Unknown(false));
  }

  @Test
  void streamThatHasBegunHereGoesOnWithoutAQuestion() throws Exception {
    list("v1", "v2");
    long stream = StreamOrigins.streamOf("tenant", "id");
    StreamOrigin origin = new StreamOrigin("s", "v2");
    origins.record(stream, origin, ROUTE);
    Resolution resolution = resolve(stream);
    assertThat(((Resolution.Known) resolution).origin().origin()).isEqualTo(origin);
  }

  @Test
  void versionIsPossibleForAsLongAsCallersOfALongRouteMayReturn() throws Exception {
    RouteSpec route = route(60_000);
    versions.onRoutes(
        new RouteTable(1, List.of(route), List.of(), null, List.of(), new byte[0], new byte[0]));
    listAgo(150_000, "v1", "v2");
    listAgo(100_000, "v2");
    list("v2");
    assertThat(resolve(StreamOrigins.streamOf("tenant", "id"), route))
        .as("it may have begun at v1, which left after it")
        .isEqualTo(new Resolution.Unknown(false));
  }
}
