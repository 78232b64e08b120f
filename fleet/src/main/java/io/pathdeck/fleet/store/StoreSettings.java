package io.pathdeck.fleet.store;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.fleet.FleetSettings;
import java.nio.file.Path;

/**
 * The settings of a store.
 *
 * @param firstStart whether this is the first start of the whole system, on empty disks
 * @param engineDrainMs for how long a leaving engine may get new work after the engine list shows
 *     that it leaves
 */
public record StoreSettings(
    FleetSettings fleet, Path dataFolder, boolean firstStart, int engineDrainMs) {
  /** Time from the decision to start an item to its arrival at the engine, on a new connection. */
  private static final int START_MARGIN_MS = 500;

  /**
   * Maximum age of the engine list when an item starts. A coordinator that knows of a leaving
   * engine may be cut off before it can report it.
   */
  long engineListValidMs() {
    return Math.max(0, engineDrainMs - START_MARGIN_MS);
  }

  /** Reads and checks the settings. */
  public static Result<StoreSettings, SettingsError> read(SettingsReader reader) {
    StoreSettings settings =
        new StoreSettings(
            FleetSettings.read(reader),
            reader.path("data_folder"),
            reader.bool("first_start", false),
            reader.integer("engine_drain_ms", 3_000, 1_000, 600_000));
    return reader.finish(settings);
  }
}
