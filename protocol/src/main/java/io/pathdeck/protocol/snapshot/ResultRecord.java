package io.pathdeck.protocol.snapshot;

import java.util.List;

/** Results of consecutive items of a job in a snapshot; null where there is none. */
public record ResultRecord(
    String jobId, int firstIndex, List<byte[]> lines, List<Boolean> successes) {}
