package io.pathdeck.dispatch;

import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.serving.engine.EngineLoad;
import java.util.function.Consumer;

/** Asks an engine for its load. */
public interface LoadProbe {
  /** Reports the load; a probe that fails reports nothing. */
  void probe(EngineSpec engine, Consumer<EngineLoad> listener);
}
