package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.adapter.EngineCall;
import java.util.Optional;

/**
 * A request that was in progress at an engine when the connection was lost.
 *
 * @param call the call that carried the request
 * @param responseStarted whether the head of the response had arrived
 * @param progress how far the engine had come with the response
 * @param startedMs when the call was started, by the monotonic clock
 * @param atMs when the connection was lost, by the same clock
 * @param trialRun the trial, if the call was sent as one
 */
record InterruptedRequest(
    EngineCall call,
    boolean responseStarted,
    ResponseProgress progress,
    long startedMs,
    long atMs,
    Optional<TrialRun> trialRun) {}
