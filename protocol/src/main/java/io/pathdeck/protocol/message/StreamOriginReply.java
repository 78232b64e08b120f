package io.pathdeck.protocol.message;

import io.pathdeck.protocol.fleet.StreamOriginRecord;

/**
 * The answer to {@link FindStreamOrigin}.
 *
 * @param record null if the gateway does not know the stream
 */
public record StreamOriginReply(StreamOriginRecord record) implements Message {}
