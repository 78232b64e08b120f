package io.pathdeck.fleet.adapter;

import java.util.ServiceLoader;

/** The languages of the surroundings in which a fleet runs. */
public interface FleetAdapter {
  /** What callers speak. */
  CallerProtocol callers();

  /** What engines speak. */
  EngineProtocol engines();

  /** What operators speak. */
  OperatorProtocol operators();

  /** What the list of engines speaks. */
  EngineListProtocol engineList();

  /** What askers of the directory speak. */
  DirectoryProtocol directory();

  /** The one adapter on the class path. */
  static FleetAdapter load() {
    return ServiceLoader.load(FleetAdapter.class)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no fleet adapter on the class path"));
  }
}
