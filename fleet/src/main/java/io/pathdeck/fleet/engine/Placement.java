package io.pathdeck.fleet.engine;

/**
 * Where a request goes.
 *
 * @param prefillTokens how many tokens of its prompt the engine probably has to read
 */
public record Placement(EngineState engine, long prefillTokens) {}
