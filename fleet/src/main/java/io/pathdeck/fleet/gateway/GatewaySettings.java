package io.pathdeck.fleet.gateway;

import io.pathdeck.common.result.Result;
import io.pathdeck.common.settings.HostPort;
import io.pathdeck.common.settings.SettingsError;
import io.pathdeck.common.settings.SettingsReader;
import io.pathdeck.fleet.FleetSettings;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.serving.http.HttpLimits;

/**
 * The settings of a gateway.
 *
 * @param fleet the settings common to all processes of a fleet
 * @param callersListen the address for callers
 * @param readinessListen the address for readiness checks
 * @param limits the limits for callers' connections, unless a configuration overrides them
 * @param drainMs the maximum duration of a graceful shutdown
 * @param minDrainMs how long a graceful shutdown keeps serving at least, so that callers learn of
 *     it
 * @param cores the processor cores that the gateway may use; 0 if unknown
 * @param shareLoad whether to share in-flight call counts with the zone's gateways even if no
 *     engine reports its pace
 * @param memoryBudgetMb the memory limit for callers' data; 0 limits request bodies only
 */
public record GatewaySettings(
    FleetSettings fleet,
    HostPort callersListen,
    HostPort readinessListen,
    HttpLimits limits,
    int drainMs,
    int minDrainMs,
    double cores,
    boolean shareLoad,
    int memoryBudgetMb) {
  private static final double MAX_CORES = 1_024;
  private static final int MAX_BUDGET_MB = 65_536;
  private static final long BYTES_PER_MB = 1 << 20;

  long memoryBudgetBytes() {
    return memoryBudgetMb * BYTES_PER_MB;
  }

  /** Returns these limits with the overrides of a configuration applied. */
  HttpLimits effectiveLimits(CallerLimits overrides) {
    int maxBodyBytes =
        overrides.maxBodyBytes() > 0 ? overrides.maxBodyBytes() : limits.maxBodyBytes();
    return new HttpLimits(
        overrides.maxHeaderBytes() > 0 ? overrides.maxHeaderBytes() : limits.maxHeaderBytes(),
        maxBodyBytes,
        maxBodyBytes,
        limits.maxConnections(),
        overrides.idleTimeoutMs() > 0 ? overrides.idleTimeoutMs() : limits.readTimeoutMs());
  }

  /** Reads and validates the settings. */
  public static Result<GatewaySettings, SettingsError> read(SettingsReader reader) {
    int maxBody = reader.integer("max_body_bytes", 4 << 20, 1 << 10, 1 << 28);
    HttpLimits limits =
        new HttpLimits(
            reader.integer("max_header_bytes", 16 << 10, 1 << 10, 1 << 20),
            maxBody,
            maxBody,
            reader.integer("max_connections", 3_000, 10, 100_000),
            reader.integer("read_timeout_ms", 20_000, 100, 600_000));
    GatewaySettings settings =
        new GatewaySettings(
            FleetSettings.read(reader),
            reader.address("callers_listen"),
            reader.address("readiness_listen"),
            limits,
            reader.integer("drain_timeout_ms", 7_400, 100, 600_000),
            reader.integer("drain_min_ms", 3_000, 0, 600_000),
            reader.decimal(
                "cores", FleetProcess.CORES_UNKNOWN, FleetProcess.CORES_UNKNOWN, MAX_CORES),
            reader.bool("share_load", false),
            reader.integer("memory_budget_mb", 0, 0, MAX_BUDGET_MB));
    if (settings.shareLoad() && settings.fleet().tls().isEnabled()) {
      reader.problem("share_load", "must be false with TLS, which does not cover datagrams");
    }
    if (settings.memoryBudgetMb() > 0 && settings.memoryBudgetBytes() < maxBody) {
      reader.problem("memory_budget_mb", "must be 0 or large enough for max_body_bytes");
    }
    return reader.finish(settings);
  }
}
