package io.pathdeck.protocol.fleet;

/**
 * One life of an engine, as the list of engines shows it.
 *
 * @param id differs for each start of an engine, also at the same address
 * @param slots requests that it runs at once
 * @param draining it is leaving and must get nothing new
 */
public record EngineInstance(
    String id, String service, String address, String zone, int slots, boolean draining) {}
