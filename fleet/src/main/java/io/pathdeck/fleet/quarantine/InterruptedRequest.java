package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.adapter.EngineCall;

/**
 * A request that was in progress at an engine when the connection was lost.
 *
 * @param answerBegan whether its response had begun
 */
public record InterruptedRequest(EngineCall call, boolean answerBegan) {}
