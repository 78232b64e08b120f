package io.pathdeck.fleet.adapter;

import java.util.ServiceLoader;

/** The protocols of the platform on which a fleet runs. */
public interface FleetAdapter {
  /** Returns the protocol of callers. */
  CallerProtocol callers();

  /** Returns the protocol of engines. */
  EngineProtocol engines();

  /** Returns the protocol of operators. */
  OperatorProtocol operators();

  /** Returns the protocol of the list of engines. */
  EngineListProtocol engineList();

  /** Returns the protocol of the directory of gateways. */
  DirectoryProtocol directory();

  /** Loads the only adapter on the class path. */
  static FleetAdapter load() {
    return ServiceLoader.load(FleetAdapter.class)
        .findFirst()
        .orElseThrow(() -> new IllegalStateException("no fleet adapter on the class path"));
  }
}
