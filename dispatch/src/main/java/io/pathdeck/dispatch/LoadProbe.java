package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineLoad;
import java.util.function.Consumer;

/** Queries engines for their load. */
public interface LoadProbe {
  /** Reports the engine's load to the listener; does not report failures. */
  void probe(EngineSpec engine, Consumer<EngineLoad> listener);
}
