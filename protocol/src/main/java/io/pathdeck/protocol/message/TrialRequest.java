package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.RequestFingerprint;

/**
 * A process that holds requests back asks the leading coordinator whether it may send one of them.
 *
 * @param part the part of prompts because of which they are held back
 */
public record TrialRequest(RequestFingerprint part) implements Message {}
