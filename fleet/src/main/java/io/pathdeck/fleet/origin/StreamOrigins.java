package io.pathdeck.fleet.origin;

import io.netty.channel.EventLoop;
import io.pathdeck.fleet.eligibility.SoftwareVersions;
import io.pathdeck.fleet.member.FleetView;
import io.pathdeck.fleet.member.PeerPool;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import net.openhft.hashing.LongHashFunction;

/**
 * Records at which software version streams begin and finds it when callers return; confined to the
 * event loop.
 *
 * <p>While a route has a single possible origin, each gateway keeps its records to itself, and a
 * caller's return needs no question. As soon as there are several, other gateways are told.
 */
public final class StreamOrigins {
  /** A stream whose caller does not tell which request began it. */
  private static final long UNNAMED = 0;

  /** How a caller's return is to be handled. */
  public sealed interface Resolution {
    /** The stream goes on at its origin. */
    record Known(StreamOriginRecord origin) implements Resolution {}

    /**
     * The stream must not go on, since nobody knows its origin.
     *
     * @param mayBeFound whether it may be known soon: by a gateway that did not answer, or by a
     *     leader that confirms the only possible origin
     */
    record Unknown(boolean mayBeFound) implements Resolution {}
  }

  private final EventLoop eventLoop;
  private final StreamOriginTable table = new StreamOriginTable();
  private final StreamOriginExchange exchange;
  private final SoftwareVersions softwareVersions;
  private final BooleanSupplier viewIsConfirmed;
  private final ToldServices toldServices;

  /**
   * Creates an empty record.
   *
   * @param softwareVersions the versions in the list of engines
   * @param viewIsConfirmed whether a leader has confirmed the list of engines within {@link
   *     SoftwareVersions#MAX_VIEW_AGE_MS}
   */
  public StreamOrigins(
      EventLoop eventLoop,
      PeerPool pool,
      String selfName,
      SoftwareVersions softwareVersions,
      BooleanSupplier viewIsConfirmed) {
    this.eventLoop = eventLoop;
    this.exchange = new StreamOriginExchange(eventLoop, pool, selfName, table);
    this.softwareVersions = softwareVersions;
    this.viewIsConfirmed = viewIsConfirmed;
    this.toldServices = new ToldServices(softwareVersions);
  }

  private static long nowMs() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  /** Returns what names a stream to all gateways; an id of another tenant names another stream. */
  public static long streamOf(String tenant, String requestId) {
    if (requestId.isEmpty()) {
      return UNNAMED;
    }
    byte[] text = (tenant + '\0' + requestId).getBytes(StandardCharsets.UTF_8);
    return LongHashFunction.xx3().hashBytes(text);
  }

  /** Returns for how long a caller of the route may take a stream up again. */
  static int validMs(RouteSpec route) {
    return (int) SoftwareVersions.returnPeriodMs(route);
  }

  /** What other gateways ask and tell. */
  public StreamOriginExchange exchange() {
    return exchange;
  }

  /** Applies a new view, after the software versions of its engines. */
  public void onChange(FleetView view) {
    exchange.onChange(view);
    if (view.engines() != null) {
      Set<String> services =
          view.engines().values().stream().map(EngineInstance::service).collect(Collectors.toSet());
      tellRecordsOf(toldServices.onChange(services, nowMs()));
    }
  }

  /** Tells others of streams that began while their service had a single version. */
  private void tellRecordsOf(Set<String> services) {
    if (!services.isEmpty()) {
      exchange.tell(table.matching(origin -> services.contains(origin.service()), nowMs()));
    }
  }

  /** Hands all records over to other gateways, since this one stops; thread-safe. */
  public void handOver() {
    eventLoop.execute(() -> exchange.tell(table.matching(origin -> true, nowMs())));
  }

  /** Records where a stream has begun, before its caller gets the first event, or goes on. */
  public void record(long stream, StreamOrigin origin, RouteSpec route) {
    if (stream == UNNAMED) {
      return;
    }
    StreamOriginRecord added = new StreamOriginRecord(stream, origin, validMs(route));
    table.put(added, nowMs());
    boolean isTold = toldServices.onStream(origin.service(), nowMs());
    if (isTold || possibleOrigins(route, nowMs()).size() > 1) {
      exchange.tell(List.of(added));
    }
  }

  /** Finds where a stream began; {@code callback} runs once, on the event loop. */
  public void resolve(long stream, RouteSpec route, Consumer<Resolution> callback) {
    Optional<StreamOriginRecord> own = table.find(stream, nowMs());
    if (own.isPresent()) {
      callback.accept(new Resolution.Known(own.get()));
      return;
    }
    OriginKnowledge knowledge = knowledge(stream, route);
    Optional<Resolution> certain = knowledge.withoutAsking();
    if (certain.isPresent()) {
      callback.accept(certain.get());
    } else if (stream == UNNAMED) {
      callback.accept(knowledge.ofUnnamed());
    } else {
      exchange.find(stream, lookup -> callback.accept(knowledge(stream, route).after(lookup)));
    }
  }

  private OriginKnowledge knowledge(long stream, RouteSpec route) {
    long nowMs = nowMs();
    return new OriginKnowledge(
        onlyOrigin(stream, route, nowMs),
        viewIsConfirmed.getAsBoolean(),
        softwareVersions.hasFollowedFor(validMs(route), nowMs));
  }

  /** Returns the origin of all streams of the route if there is only one. */
  private Optional<StreamOriginRecord> onlyOrigin(long stream, RouteSpec route, long nowMs) {
    Set<StreamOrigin> possible = possibleOrigins(route, nowMs);
    return possible.size() == 1
        ? Optional.of(new StreamOriginRecord(stream, possible.iterator().next(), validMs(route)))
        : Optional.empty();
  }

  private Set<StreamOrigin> possibleOrigins(RouteSpec route, long nowMs) {
    Set<StreamOrigin> possible = new HashSet<>();
    for (RouteTarget target : route.targets()) {
      for (String version :
          softwareVersions.recentVersions(target.service(), validMs(route), nowMs)) {
        possible.add(new StreamOrigin(target.service(), version));
      }
    }
    return possible;
  }
}
