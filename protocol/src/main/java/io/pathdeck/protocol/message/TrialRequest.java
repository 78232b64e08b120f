package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.RequestFingerprint;

/**
 * A process of an earlier release, which does not send {@link TrialNotice}s, asks the leading
 * coordinator whether it may send one of the requests that it holds back.
 *
 * @param part the part of prompts because of which they are held back
 */
public record TrialRequest(RequestFingerprint part) implements Message {}
