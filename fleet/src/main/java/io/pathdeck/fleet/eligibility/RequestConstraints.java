package io.pathdeck.fleet.eligibility;

import io.pathdeck.fleet.topology.AllowedRegions;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.StreamOrigin;
import java.util.Optional;
import java.util.Set;

/**
 * What restricts the engines that a request may be sent to.
 *
 * @param triedEngineIds the engines that it was already sent to
 * @param allowedRegions the regions that may serve it
 * @param origin where the stream that goes on has begun; empty if it has no event yet
 */
public record RequestConstraints(
    Set<String> triedEngineIds, AllowedRegions allowedRegions, Optional<StreamOrigin> origin) {
  /** Any engine of the service may run the request. */
  public static final RequestConstraints NONE =
      new RequestConstraints(Set.of(), AllowedRegions.ANYWHERE, Optional.empty());

  /** The same for a request that begins a stream. */
  public RequestConstraints ofNewStream() {
    return new RequestConstraints(triedEngineIds, allowedRegions, Optional.empty());
  }

  /** Whether the request has no event yet, so that it may begin at any software version. */
  boolean beginsStream() {
    return origin.isEmpty();
  }

  /** Whether the engine's software version can write the rest of the stream. */
  public boolean allowsVersionOf(EngineInstance engine) {
    return origin.map(StreamOrigin.of(engine)::equals).orElse(true);
  }
}
