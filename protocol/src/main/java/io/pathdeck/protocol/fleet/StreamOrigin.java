package io.pathdeck.protocol.fleet;

/**
 * Which engines can write the rest of a stream: those of one software version of one service.
 *
 * @param service the service whose engine sent the first event
 * @param softwareVersion the software version of that engine
 */
public record StreamOrigin(String service, String softwareVersion) {
  /** The origin of events that were recorded without one; no engine has it. */
  public static final StreamOrigin UNKNOWN = new StreamOrigin("", "");

  /** The origin of streams that {@code engine} begins. */
  public static StreamOrigin of(EngineInstance engine) {
    return new StreamOrigin(engine.service(), engine.softwareVersion());
  }
}
