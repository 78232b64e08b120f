package io.pathdeck.protocol.fleet;

/**
 * An engine ended while a request was under way there.
 *
 * @param engine names the life of the engine that ended, see {@link EngineInstance#lifeId}
 * @param answerBegan whether the engine had begun to answer the request
 */
public record EngineEnd(String engine, RequestFingerprint request, boolean answerBegan) {}
