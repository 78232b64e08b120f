package io.pathdeck.fleet.engine;

/**
 * The engine chosen for a request.
 *
 * @param engine the chosen engine
 * @param prefillTokens estimated number of prompt tokens that the engine has to prefill
 */
public record Placement(EngineState engine, long prefillTokens) {}
