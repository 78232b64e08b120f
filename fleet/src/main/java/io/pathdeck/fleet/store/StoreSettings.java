package io.pathdeck.fleet.store;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.fleet.FleetSettings;
import java.nio.file.Path;

/**
 * The settings of a store.
 *
 * @param fleet settings that all processes of the fleet have
 * @param dataFolder folder of the replicated data
 * @param firstStart whether this is the first start of the whole system, on empty disks
 * @param engineDrainMs for how long a leaving engine may get new work after the engine list shows
 *     that it leaves
 */
public record StoreSettings(
    FleetSettings fleet, Path dataFolder, boolean firstStart, int engineDrainMs) {
  /** Time from the decision to start an item to its arrival at the engine, on a new connection. */
  private static final int START_MARGIN_MS = 500;

  /**
   * Returns the maximum age of the engine list at which items start. An older list may lack a
   * leaving engine, because the coordinator that knows of it may be cut off.
   */
  long maxEngineListAgeMs() {
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
