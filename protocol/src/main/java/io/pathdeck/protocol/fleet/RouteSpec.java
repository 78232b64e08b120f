package io.pathdeck.protocol.fleet;

import java.util.ArrayList;
import java.util.List;

/**
 * Where the requests of a host and path prefix go and what holds for them.
 *
 * @param timeoutMs how long a request may be held at most
 * @param targetMs the time within which an answer should begin
 * @param priority 0 is served first
 * @param maxAttempts the most engines that may run one request
 * @param sticky whether requests that share prompt parts should meet on one engine
 * @param resumable whether a stream that broke off may go on at another engine
 * @param gapTargetMs the longest pause between events of a stream that is still in time; 0: none
 * @param runTargetMs when the results of a batch job are due after its submission
 * @param retainMs when an item of a batch job may be given up after its submission
 * @param maxQueuedTokens the most tokens of unfinished items of each tenant; 0: no limit
 * @param anonymous whether callers need no key
 * @param allowedRegions the regions that may serve and store its requests; empty: all
 */
public record RouteSpec(
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
    boolean anonymous,
    List<String> allowedRegions) {
  public RouteSpec {
    targets = new ArrayList<>(targets);
    allowedRegions = new ArrayList<>(allowedRegions);
  }

  /** A route that all regions may serve. */
  public RouteSpec(
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
    this(
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
        anonymous,
        List.of());
  }

  /** Whether requests of this route go to the service. */
  public boolean sendsTo(String service) {
    return targets.stream()
        .anyMatch(target -> target.service().equals(service) && target.weight() > 0);
  }

  /** Whether a request of this route may run on more than one engine. */
  public boolean isRepeatable() {
    return kind == RouteKind.SAFE || (kind == RouteKind.STREAM && resumable);
  }
}
