package io.pathdeck.fleet.gateway;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Metrics of streams and engines by software version. Updated by one thread; thread-safe for the
 * registry.
 */
final class StreamMetrics {
  /** Bounds the number of meters; the streams of further versions are counted together. */
  static final int MAX_METERS = 64;

  private static final String ENGINES = "pathdeck.engines.by.version";
  private static final String FURTHER_VERSIONS = "other";

  /** What happens to streams. */
  enum Outcome {
    /** The first event was sent. */
    BEGUN,
    /** Another engine was asked for the rest within a response. */
    RESUMED_IN_RESPONSE,
    /** An engine was asked for the rest, since the caller came back. */
    RESUMED_BY_CALLER
  }

  /** Why a stream did not go on. */
  enum Refusal {
    ORIGIN_UNKNOWN,
    SERVICE_NOT_ROUTED,
    NO_ENGINE
  }

  private record Key(String name, Tags tags) {}

  private final Map<Key, AtomicLong> values = new HashMap<>();
  private MeterRegistry registry;

  void onStream(Outcome outcome, String softwareVersion) {
    Tags tags = Tags.of("outcome", lowerCase(outcome));
    counter("pathdeck.streams", tags, softwareVersion).incrementAndGet();
  }

  void onRefused(Refusal reason) {
    value("pathdeck.streams.refused", Tags.of("reason", lowerCase(reason))).incrementAndGet();
  }

  private AtomicLong counter(String name, Tags tags, String softwareVersion) {
    boolean isKnown = values.containsKey(new Key(name, withVersion(tags, softwareVersion)));
    boolean hasRoom = values.size() < MAX_METERS;
    return value(name, withVersion(tags, isKnown || hasRoom ? softwareVersion : FURTHER_VERSIONS));
  }

  private static Tags withVersion(Tags tags, String softwareVersion) {
    return tags.and("software_version", softwareVersion);
  }

  /** Counts the engines of each software version. */
  void onEngines(Collection<EngineInstance> engines) {
    Map<StreamOrigin, Long> counts = new HashMap<>();
    engines.forEach(engine -> counts.merge(StreamOrigin.of(engine), 1L, Long::sum));
    values.forEach(
        (key, value) -> {
          if (key.name().equals(ENGINES)) {
            value.set(0);
          }
        });
    counts.forEach(
        (origin, count) ->
            counter(ENGINES, Tags.of("service", origin.service()), origin.softwareVersion())
                .addAndGet(count));
  }

  private synchronized AtomicLong value(String name, Tags tags) {
    Key key = new Key(name, tags);
    AtomicLong known = values.get(key);
    if (known == null) {
      known = new AtomicLong();
      values.put(key, known);
      register(key, known);
    }
    return known;
  }

  private void register(Key key, AtomicLong value) {
    if (registry == null) {
      return;
    }
    if (key.name().equals(ENGINES)) {
      Gauge.builder(key.name(), value, AtomicLong::get).tags(key.tags()).register(registry);
    } else {
      FunctionCounter.builder(key.name(), value, AtomicLong::get)
          .tags(key.tags())
          .register(registry);
    }
  }

  private static String lowerCase(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }

  synchronized void bindTo(MeterRegistry newRegistry) {
    registry = newRegistry;
    values.forEach(this::register);
  }
}
