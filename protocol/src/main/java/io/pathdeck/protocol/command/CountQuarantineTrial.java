package io.pathdeck.protocol.command;

import io.pathdeck.protocol.fleet.RequestFingerprint;

/** A quarantined request, or one with a quarantined part of prompts, may be sent once. */
public record CountQuarantineTrial(RequestFingerprint suspect) implements FleetCommand {}
