package io.pathdeck.fleet.quarantine;

import io.pathdeck.fleet.adapter.EngineCall;

/**
 * A request that was under way at an engine when the connection ended.
 *
 * @param answerBegan whether the engine had begun to answer it
 */
public record InterruptedRequest(EngineCall call, boolean answerBegan) {}
