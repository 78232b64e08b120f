package io.pathdeck.fleet.gateway;

import io.netty.channel.EventLoop;
import io.pathdeck.fleet.eligibility.RequestConstraints;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.EngineTransport;
import io.pathdeck.fleet.engine.ResponseMemory;
import java.util.Set;

/**
 * State shared by all forwarders of a gateway. The {@code callStartListener} runs whenever a
 * request is sent to an engine, retries included.
 */
record ForwardingContext(
    EventLoop eventLoop,
    EngineTransport transport,
    EngineTable engines,
    EngineLoadBalancer loadBalancer,
    ForwardingSettings settings,
    SilenceTimeout silenceTimeout,
    RequestMetrics metrics,
    ResponseMemory responseMemory,
    RequestDispatcher dispatcher,
    Runnable callStartListener,
    StopRule stopRule,
    Set<RequestForwarder> activeRequests) {

  /** Returns why no engine of the service may get the request. */
  NoEligibleEngine noEligibleEngine(String service, RequestConstraints constraints, long nowMs) {
    return NoEligibleEngine.of(
        engines.countByEligibility(service, constraints, nowMs), settings.refusedRetryAfterMs());
  }
}
