package io.pathdeck.fleet.adapter;

import java.util.List;
import java.util.Map;

/**
 * The evacuated zones as a coordinator knows them, and what is left to the services.
 *
 * @param version rises with each change
 * @param zones the evacuated zones
 * @param services the engines of each service, by its name
 */
public record EvacuationStatus(
    long version, List<String> zones, Map<String, ServiceEngines> services) {

  /**
   * The engines of one service.
   *
   * @param left engines in zones that are not evacuated, except those that are leaving
   * @param evacuated engines in evacuated zones
   */
  public record ServiceEngines(int left, int evacuated) {}
}
