package io.pathdeck.fleet.gateway;

import io.netty.channel.EventLoop;
import io.pathdeck.fleet.engine.EngineLoadBalancer;
import io.pathdeck.fleet.engine.EngineTable;
import io.pathdeck.fleet.engine.EngineTransport;
import java.util.Set;

/**
 * What the forwarders of a gateway share.
 *
 * @param callStartListener hears that a request was given to an engine, be it for the first time or
 *     again
 */
record ForwardingContext(
    EventLoop eventLoop,
    EngineTransport transport,
    EngineTable engines,
    EngineLoadBalancer choice,
    ForwardingSettings settings,
    SilenceTimeout silenceTimeout,
    RequestMetrics metrics,
    RequestDispatcher dispatcher,
    Runnable callStartListener,
    Set<RequestForwarder> activeRequests) {}
