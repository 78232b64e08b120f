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
    void record(long stream, StreamOrigin origin, RouteSpec route);
  }

  private final Recorder recorder;
  private final StreamMetrics metrics;
  private final RouteSpec route;
  private final long stream;
  private final boolean isRecorded;
  private Optional<StreamOrigin> origin;

  private StreamBinding(
      Recorder recorder,
      StreamMetrics metrics,
      RouteSpec route,
      long stream,
      boolean isRecorded,
      Optional<StreamOrigin> origin) {
    this.recorder = recorder;
    this.metrics = metrics;
    this.route = route;
    this.stream = stream;
    this.isRecorded = isRecorded;
    this.origin = origin;
  }

  /** The binding of a request whose response begins with it. */
  static StreamBinding ofNew(
      Recorder recorder,
      StreamMetrics metrics,
      RouteSpec route,
      CallerRequest.Routed request,
      String tenant) {
    long stream = StreamOrigins.streamOf(tenant, request.requestId());
    return new StreamBinding(recorder, metrics, route, stream, route.resumable(), Optional.empty());
  }

  /** The binding of a request that takes up a stream. */
  static StreamBinding ofResumed(
      Recorder recorder, StreamMetrics metrics, RouteSpec route, StreamOriginRecord record) {
    return new StreamBinding(
        recorder, metrics, route, record.stream(), route.resumable(), Optional.of(record.origin()));
  }

  /** Where the stream began; empty before its first event. */
  Optional<StreamOrigin> origin() {
    return origin;
  }

  /** The software version that began the stream; empty before its first event. */
  String softwareVersion() {
    return origin.map(StreamOrigin::softwareVersion).orElse("");
  }

  /** Extends the record of a stream that goes on. An engine may still refuse to begin one. */
  void onSend() {
    origin.ifPresent(this::record);
  }

  private void record(StreamOrigin known) {
    if (isRecorded) {
      recorder.record(stream, known, route);
    }
  }

  /**
   * Binds the stream to the engine that sent its first event, before the caller gets it; later
   * events change nothing.
   */
  void onEvents(EngineInstance engine) {
    if (origin.isEmpty()) {
      origin = Optional.of(StreamOrigin.of(engine));
      record(origin.get());
      metrics.onStream(StreamMetrics.Outcome.BEGUN, engine.softwareVersion());
    }
  }

  /** Counts that an engine is asked for the rest of the stream. */
  void onResume(boolean inResponse) {
    StreamMetrics.Outcome outcome =
        inResponse
            ? StreamMetrics.Outcome.RESUMED_IN_RESPONSE
            : StreamMetrics.Outcome.RESUMED_BY_CALLER;
    metrics.onStream(outcome, softwareVersion());
  }

  /** Counts a stream that no engine can go on with. */
  void onNoEngine() {
    if (origin.isPresent()) {
      metrics.onRefused(StreamMetrics.Refusal.NO_ENGINE);
    }
  }
}
