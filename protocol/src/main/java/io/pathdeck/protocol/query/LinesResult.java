package io.pathdeck.protocol.query;

import java.util.List;

/** Lines and the position to continue from; -1 at the end. */
public record LinesResult(List<byte[]> lines, int next) implements QueryResult {}
