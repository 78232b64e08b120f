package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.RequestFingerprint;
import java.util.ArrayList;
import java.util.List;

/** Requests are not to reach engines any more. */
public record QuarantineRequests(List<RequestFingerprint> requests) implements FleetCommand {
  public QuarantineRequests {
    requests = new ArrayList<>(requests);
  }
}
