package io.pathdeck.fleet.adapter;

/**
 * An engine's load as it says itself.
 *
 * @param running requests that run
 * @param waiting requests that wait
 * @param slots requests that it can run at once; 0 when it does not say
 */
public record EngineLoadReport(int running, int waiting, int slots) {}
