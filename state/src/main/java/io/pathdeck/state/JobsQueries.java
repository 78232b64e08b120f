package io.pathdeck.state;

import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.model.TenantBacklog;
import io.pathdeck.protocol.query.BacklogResult;
import io.pathdeck.protocol.query.FileResult;
import io.pathdeck.protocol.query.JobListResult;
import io.pathdeck.protocol.query.JobResult;
import io.pathdeck.protocol.query.LinesResult;
import io.pathdeck.protocol.query.ListJobs;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadBacklog;
import io.pathdeck.protocol.query.ReadFile;
import io.pathdeck.protocol.query.ReadFileLines;
import io.pathdeck.protocol.query.ReadJob;
import io.pathdeck.protocol.query.ReadResults;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Answers reads of a jobs partition. */
final class JobsQueries {
  private final JobsStateMachine state;

  JobsQueries(JobsStateMachine state) {
    this.state = state;
  }

  QueryResult answer(Query query) {
    if (query instanceof ReadJob read) {
      Job job = visibleJob(read.jobId(), read.tenant());
      return job == null ? jobNotFound(read.jobId()) : new JobResult(job.view());
    }
    if (query instanceof ListJobs listQuery) {
      return listJobs(listQuery);
    }
    if (query instanceof ReadFile read) {
      StoredFile file = visibleFile(read.fileId(), read.tenant());
      return file == null ? fileNotFound(read.fileId()) : new FileResult(file.view());
    }
    if (query instanceof ReadFileLines read) {
      return readFileLines(read);
    }
    if (query instanceof ReadResults read) {
      return readResults(read);
    }
    if (query instanceof ReadBacklog read) {
      return readBacklog(read.service());
    }
    return new NotFound("not a query of a jobs partition");
  }

  private Job visibleJob(String jobId, String tenant) {
    Job job = state.jobs.get(jobId);
    boolean visible = job != null && (tenant.isEmpty() || tenant.equals(job.spec().tenant()));
    return visible ? job : null;
  }

  private StoredFile visibleFile(String fileId, String tenant) {
    StoredFile file = state.files.get(fileId);
    return file != null && file.belongsTo(tenant) ? file : null;
  }

  private static NotFound jobNotFound(String jobId) {
    return new NotFound("no batch " + jobId);
  }

  private static NotFound fileNotFound(String fileId) {
    return new NotFound("no file " + fileId);
  }

  private QueryResult listJobs(ListJobs query) {
    List<Job> allJobs = new ArrayList<>(state.jobs.values());
    List<JobView> page = new ArrayList<>();
    boolean pageStarted = query.afterJobId().isEmpty();
    for (int i = allJobs.size() - 1; i >= 0; i--) {
      Job job = allJobs.get(i);
      boolean visible = query.tenant().isEmpty() || query.tenant().equals(job.spec().tenant());
      if (pageStarted && visible) {
        if (page.size() == query.limit()) {
          return new JobListResult(page, true);
        }
        page.add(job.view());
      }
      pageStarted = pageStarted || job.spec().jobId().equals(query.afterJobId());
    }
    return new JobListResult(page, false);
  }

  private QueryResult readFileLines(ReadFileLines read) {
    StoredFile file = visibleFile(read.fileId(), read.tenant());
    if (file == null) {
      return fileNotFound(read.fileId());
    }
    List<byte[]> lines = new ArrayList<>();
    long bytes = 0;
    int index = read.fromLine();
    for (; index < file.lineCount() && bytes < read.maxBytes(); index++) {
      byte[] line = file.line(index);
      bytes += line.length;
      lines.add(line);
    }
    return new LinesResult(lines, index < file.lineCount() ? index : -1);
  }

  private QueryResult readResults(ReadResults read) {
    Job job = visibleJob(read.jobId(), read.tenant());
    if (job == null) {
      return jobNotFound(read.jobId());
    }
    List<byte[]> lines = new ArrayList<>();
    long bytes = 0;
    int index = read.fromItem();
    for (; index < job.size() && bytes < read.maxBytes(); index++) {
      byte[] line = job.result(index);
      if (line != null && job.isFailure(index) == read.failures()) {
        bytes += line.length;
        lines.add(line);
      }
    }
    return new LinesResult(lines, index < job.size() ? index : -1);
  }

  private QueryResult readBacklog(String service) {
    Map<String, int[]> counts = new TreeMap<>();
    for (Job job : state.jobs.values()) {
      if (!job.status().isTerminal() && job.spec().service().equals(service)) {
        int[] count = counts.computeIfAbsent(job.spec().tenant(), key -> new int[2]);
        count[0] += job.waitingCount();
        count[1] += job.leasedCount();
      }
    }
    List<TenantBacklog> backlog = new ArrayList<>();
    counts.forEach(
        (tenant, count) -> backlog.add(new TenantBacklog(tenant, service, count[0], count[1])));
    return new BacklogResult(backlog);
  }
}
