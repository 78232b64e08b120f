package io.pathdeck.fleet.adapter;

import java.util.ServiceLoader;

/** The protocols by which a fleet communicates with the platform on which it runs. */
public interface FleetAdapter {
  /** Returns the protocol between callers and gateways. */
  CallerProtocol callers();

  /** Returns the protocol between this fleet and engines. */
  EngineProtocol engines();

  /** Returns the protocol between operators and coordinators. */
  OperatorProtocol operators();

  /** Returns the protocol by which coordinators read the list of engines. */
  EngineListProtocol engineList();

  /** Returns the protocol by which callers query the directory of gateways. */
  DirectoryProtocol directory();

  /** Loads the adapter on the class path. */
  static FleetAdapter load() {
    return ServiceLoader.load(FleetAdapter.class)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no fleet adapter on the class path"));
  }
}
