package io.pathdeck.protocol.legacy;

import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTarget;
import java.util.List;

/** A {@link RouteSpec} without allowed regions. */
public record RouteSpecV1(
    String name,
    String host,
    String pathPrefix,
    RouteKind kind,
    long timeoutMs,
    long targetMs,
    int priority,
    List<RouteTarget> targets,
    int maxAttempts,
    boolean sticky,
    boolean resumable,
    long gapTargetMs,
    long runTargetMs,
    long retainMs,
    long maxQueuedTokens,
    boolean anonymous) {
  /** Converts to the current form. */
  RouteSpec toCurrent() {
    return new RouteSpec(
        name,
        host,
        pathPrefix,
        kind,
        timeoutMs,
        targetMs,
        priority,
        targets,
        maxAttempts,
        sticky,
        resumable,
        gapTargetMs,
        runTargetMs,
        retainMs,
        maxQueuedTokens,
        anonymous);
  }
}
