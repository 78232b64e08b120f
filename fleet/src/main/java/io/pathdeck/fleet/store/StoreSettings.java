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
 */
public record StoreSettings(FleetSettings fleet, Path dataFolder, boolean firstStart) {

  /** Reads and checks the settings. */
  public static Result<StoreSettings, SettingsError> read(SettingsReader reader) {
    StoreSettings settings =
        new StoreSettings(
            FleetSettings.read(reader),
            reader.path("data_folder"),
            reader.bool("first_start", false));
    return reader.finish(settings);
  }
}
