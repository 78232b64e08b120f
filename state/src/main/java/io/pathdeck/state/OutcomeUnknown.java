package io.pathdeck.state;

import java.nio.charset.StandardCharsets;

/** The result line of a non-repeatable item whose run was lost from sight. */
final class OutcomeUnknown {
  private OutcomeUnknown() {}

  static byte[] line(Job job, int index) {
    String line =
        "{\"id\":\""
            + job.spec().jobId()
            + "-"
            + index
            + "\",\"item\":"
            + index
            + ",\"response\":null,\"error\":{\"code\":\"outcome_unknown\","
            + "\"message\":\"the item may have run and is not repeated\"}}";
    return line.getBytes(StandardCharsets.UTF_8);
  }
}
