package io.pathdeck.serving.api;

import java.util.Optional;

/** The ID of a batch's output or error file, derived from the batch ID. */
record BatchFileId(String jobId, boolean errors) {
  static final String JOB_PREFIX = "batch_";
  private static final String OUTPUT_PREFIX = "output-";
  private static final String ERRORS_PREFIX = "errors-";

  static String outputOf(String jobId) {
    return OUTPUT_PREFIX + jobId.substring(JOB_PREFIX.length());
  }

  static String errorsOf(String jobId) {
    return ERRORS_PREFIX + jobId.substring(JOB_PREFIX.length());
  }

  static Optional<BatchFileId> parse(String fileId) {
    if (fileId.startsWith(OUTPUT_PREFIX)) {
      String jobId = JOB_PREFIX + fileId.substring(OUTPUT_PREFIX.length());
      return Optional.of(new BatchFileId(jobId, false));
    }
    if (fileId.startsWith(ERRORS_PREFIX)) {
      String jobId = JOB_PREFIX + fileId.substring(ERRORS_PREFIX.length());
      return Optional.of(new BatchFileId(jobId, true));
    }
    return Optional.empty();
  }
}
