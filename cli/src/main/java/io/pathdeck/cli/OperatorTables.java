package io.pathdeck.cli;

import com.google.protobuf.MessageOrBuilder;
import io.pathdeck.protocol.generated.ApplyReply;
import io.pathdeck.protocol.generated.DeclarationReply;
import io.pathdeck.protocol.generated.Engine;
import io.pathdeck.protocol.generated.GroupStatus;
import io.pathdeck.protocol.generated.Job;
import io.pathdeck.protocol.generated.JobReply;
import io.pathdeck.protocol.generated.ListJobsReply;
import io.pathdeck.protocol.generated.Replica;
import io.pathdeck.protocol.generated.Service;
import io.pathdeck.protocol.generated.StatusReply;
import io.pathdeck.protocol.generated.Tenant;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;

/** Prints replies as tables. */
final class OperatorTables {
  private static final String JOB_ROW = "%-42s %-16s %-14s %-12s %8s %9s %7s%n";

  private OperatorTables() {}

  static void print(MessageOrBuilder message, PrintStream out) throws IOException {
    if (message instanceof ApplyReply reply) {
      reply.getChangesList().forEach(out::println);
      out.println("version " + reply.getVersion());
    } else if (message instanceof DeclarationReply reply) {
      printDeclaration(reply, out);
    } else if (message instanceof ListJobsReply reply) {
      printJobs(reply.getJobsList(), out);
    } else if (message instanceof JobReply reply) {
      printJobs(List.of(reply.getJob()), out);
    } else if (message instanceof StatusReply reply) {
      printStatus(reply, out);
    } else {
      throw new IOException("no table for " + message.getClass().getSimpleName());
    }
  }

  private static void row(PrintStream out, String format, Object... values) {
    out.printf(Locale.ROOT, format, values);
  }

  private static void printDeclaration(DeclarationReply reply, PrintStream out) {
    out.println("version " + reply.getVersion());
    for (Tenant tenant : reply.getDeclaration().getTenantsList()) {
      row(
          out,
          "tenant  %-24s weight %d  concurrent %d  rate %d/s%n",
          tenant.getName(),
          tenant.getWeight(),
          tenant.getMaxConcurrentRequests(),
          tenant.getRequestsPerSecond());
    }
    for (Service service : reply.getDeclaration().getServicesList()) {
      row(
          out,
          "service %-24s model %s  weight %d%n",
          service.getName(),
          service.getModel(),
          service.getWeight());
    }
    for (Engine engine : reply.getDeclaration().getEnginesList()) {
      row(
          out,
          "engine  %-24s %-22s zone %-16s service %-12s%s%n",
          engine.getName(),
          engine.getAddress(),
          engine.getZone(),
          engine.getService(),
          engine.getDraining() ? " draining" : "");
    }
  }

  private static void printJobs(List<Job> jobs, PrintStream out) {
    row(out, JOB_ROW, "JOB", "TENANT", "SERVICE", "STATUS", "TOTAL", "COMPLETED", "FAILED");
    for (Job job : jobs) {
      row(
          out,
          JOB_ROW,
          job.getId(),
          job.getTenant(),
          job.getService(),
          job.getStatus(),
          job.getTotal(),
          job.getCompleted(),
          job.getFailed());
    }
  }

  private static void printStatus(StatusReply reply, PrintStream out) {
    out.println("controller " + reply.getControllerId());
    for (GroupStatus group : reply.getGroupsList()) {
      row(
          out,
          "%-8s %-14s term %-4d leader %-3d commit %-10d applied %-10d%n",
          group.getGroup(),
          group.getRole(),
          group.getTerm(),
          group.getLeaderId(),
          group.getCommitIndex(),
          group.getAppliedIndex());
      for (Replica replica : group.getReplicasList()) {
        row(
            out,
            "  replica %-3d %-8s match %-10d incarnation %x%n",
            replica.getId(),
            replica.getVoter() ? "voter" : "learner",
            replica.getMatchIndex(),
            replica.getIncarnation());
      }
    }
  }
}
