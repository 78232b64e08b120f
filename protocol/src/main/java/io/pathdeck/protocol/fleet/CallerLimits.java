package io.pathdeck.protocol.fleet;

/**
 * What a configuration allows callers to send; 0 where it states nothing.
 *
 * @param maxHeaderBytes the most bytes of a request's head
 * @param maxBodyBytes the most bytes of its body
 * @param idleTimeoutMs how long a kept connection may be idle
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int idleTimeoutMs) {
  /** Nothing is stated. */
  public static final CallerLimits NONE = new CallerLimits(0, 0, 0);
}
