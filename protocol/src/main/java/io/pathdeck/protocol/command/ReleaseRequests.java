package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;

/** Requests may reach engines again. */
public record ReleaseRequests(List<RequestFingerprint> requests) implements FleetCommand {
  public ReleaseRequests {
    requests = new ArrayList<>(requests);
  }
}
