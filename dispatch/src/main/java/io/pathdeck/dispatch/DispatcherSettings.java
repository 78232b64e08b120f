package io.pathdeck.dispatch;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.common.settings.TlsSettings;
import java.util.List;

/**
 * The settings of a dispatcher.
 *
 * @param leaseMs the duration of item leases without renewal
 * @param engineIdleTimeoutMs the silence after which an engine's stream fails
 */
public record DispatcherSettings(
    String id,
    String zone,
    HostPort adminListen,
    List<HostPort> controllers,
    int leaseMs,
    int engineIdleTimeoutMs,
    int drainTimeoutMs,
    TlsSettings tls) {

  /** Reads and checks the settings. */
  public static Result<DispatcherSettings, SettingsError> read(SettingsReader reader) {
    DispatcherSettings settings =
        new DispatcherSettings(
            reader.string("id"),
            reader.string("zone"),
            reader.address("admin_listen"),
            reader.addresses("controllers"),
            reader.integer("lease_ms", 10_000, 1_000, 600_000),
            reader.integer("engine_idle_timeout_ms", 10_000, 100, 600_000),
            reader.integer("drain_timeout_ms", 10_000, 0, 600_000),
            TlsSettings.read(reader));
    settings.tls().check(reader, settings.controllers());
    return reader.finish(settings);
  }
}
