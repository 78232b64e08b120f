package io.pathdeck.fleet.gateway;

import io.pathdeck.fleet.adapter.CallerRequest;
import io.pathdeck.fleet.origin.StreamOrigins;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.util.Optional;

/**
 * Binds the response to one request to the software version that sent the first event of its
 * stream; confined to the event loop.
 */
final class StreamBinding {
  /** Records where streams began, for callers that return. */
  interface Recorder {
    void record(long stream, StreamOrigin origin, int attempt, RouteSpec route);
  }

  private final Recorder recorder;
  private final RouteSpec route;
  private final long stream;
  private final boolean isRecorded;
  private Optional<StreamOrigin> origin;
  private int attempt;

  private StreamBinding(
      Recorder recorder,
      RouteSpec route,
      long stream,
      boolean isRecorded,
      Optional<StreamOrigin> origin,
      int attempt) {
    this.recorder = recorder;
    this.route = route;
    this.stream = stream;
    this.isRecorded = isRecorded;
    this.origin = origin;
    this.attempt = attempt;
  }

  /** The binding of a request whose response begins with it. */
  static StreamBinding ofNew(
      Recorder recorder, RouteSpec route, CallerRequest.Routed request, String tenant) {
    long stream = StreamOrigins.streamOf(tenant, request.requestId());
    return new StreamBinding(recorder, route, stream, route.resumable(), Optional.empty(), 0);
  }

  /** The binding of a request that takes up a stream. */
  static StreamBinding ofResumed(Recorder recorder, RouteSpec route, StreamOriginRecord record) {
    return new StreamBinding(
        recorder,
        route,
        record.stream(),
        route.resumable(),
        Optional.of(record.origin()),
        record.attempt());
  }

  /** Where the stream began; empty before its first event. */
  Optional<StreamOrigin> origin() {
    return origin;
  }

  /** The software version that began the stream; empty before its first event. */
  String softwareVersion() {
    return origin.map(StreamOrigin::softwareVersion).orElse("");
  }

  /**
   * Records the origin that the stream has if this engine sends the next event. The record reaches
   * others while the engine works on the first event.
   */
  void onSend(EngineInstance engine) {
    if (origin.isEmpty()) {
      attempt++;
    }
    if (isRecorded) {
      recorder.record(stream, origin.orElse(StreamOrigin.of(engine)), attempt, route);
    }
  }

  /** Binds the stream to the engine that sent its first event. */
  void onEvent(EngineInstance engine) {
    if (origin.isEmpty()) {
      origin = Optional.of(StreamOrigin.of(engine));
    }
  }
}
