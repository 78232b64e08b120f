package io.pathdeck.control;

import io.grpc.Context;
import io.grpc.Status;
import io.grpc.stub.StreamObserver;
import io.pathdeck.common.duty.Section;
import io.pathdeck.common.result.Result;
import io.pathdeck.protocol.client.ControlError;
import io.pathdeck.protocol.client.ControlPlane;
import io.pathdeck.protocol.command.ApplyDelta;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandResult;
import io.pathdeck.protocol.command.DeclarationApplied;
import io.pathdeck.protocol.command.JobAccepted;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.SetEngineDraining;
import io.pathdeck.protocol.command.VersionConflict;
import io.pathdeck.protocol.generated.ApplyReply;
import io.pathdeck.protocol.generated.ApplyRequest;
import io.pathdeck.protocol.generated.CancelJobRequest;
import io.pathdeck.protocol.generated.CommandId;
import io.pathdeck.protocol.generated.DeclarationReply;
import io.pathdeck.protocol.generated.DrainEngineRequest;
import io.pathdeck.protocol.generated.GetDeclarationRequest;
import io.pathdeck.protocol.generated.JobReply;
import io.pathdeck.protocol.generated.ListJobsReply;
import io.pathdeck.protocol.generated.ListJobsRequest;
import io.pathdeck.protocol.generated.OperatorGrpc;
import io.pathdeck.protocol.generated.StatusReply;
import io.pathdeck.protocol.generated.StatusRequest;
import io.pathdeck.protocol.generated.WatchRequest;
import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.query.DeclarationResult;
import io.pathdeck.protocol.query.JobListResult;
import io.pathdeck.protocol.query.ListJobs;
import io.pathdeck.protocol.query.Query;
import io.pathdeck.protocol.query.QueryResult;
import io.pathdeck.protocol.query.ReadDeclaration;
import io.pathdeck.state.DeclarationStore;
import io.pathdeck.state.DeclarationValidator;
import io.pathdeck.state.PartitionIds;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;

/** The operators' API. Any controller answers it by calling the leader of the group concerned. */
final class OperatorService extends OperatorGrpc.OperatorImplBase {
  private static final long CALL_TIMEOUT_MS = 10_000;
  private static final long WATCH_INTERVAL_MS = 300;
  private static final long ANY_VERSION = -1;
  private static final int MAX_APPLY_TRIES = 5;
  private static final int DEFAULT_JOB_LIMIT = 100;
  private static final int MAX_JOB_LIMIT = 1_000;

  private final int controllerId;
  private final int partitions;
  private final ControlPlane client;
  private final Section<ControllerStatus> status;

  OperatorService(
      int controllerId, int partitions, ControlPlane client, Section<ControllerStatus> status) {
    this.controllerId = controllerId;
    this.partitions = partitions;
    this.client = client;
    this.status = status;
  }

  // ---- declaration

  @Override
  public void apply(ApplyRequest request, StreamObserver<ApplyReply> observer) {
    respond(observer, () -> apply(request));
  }

  private ApplyReply apply(ApplyRequest request) {
    Declaration target = OperatorMessages.fromProto(request.getDeclaration());
    List<String> problems = DeclarationValidator.validate(target);
    if (!problems.isEmpty()) {
      throw failure(Status.INVALID_ARGUMENT, String.join("; ", problems));
    }
    boolean anyVersion = request.getExpectedVersion() == ANY_VERSION;
    for (int attempt = 1; ; attempt++) {
      DeclarationResult current = readDeclaration();
      long expected = anyVersion ? current.version() : request.getExpectedVersion();
      DeclarationStore store = new DeclarationStore();
      store.apply(fullDelta(current.declaration()), current.version());
      DeclarationDelta delta = store.deltaTo(target);
      if (request.getDryRun()) {
        checkVersion(expected, current.version());
        return applyReply(current.version(), store.describe(delta));
      }
      CommandResult result =
          propose(
              ControllerProcess.META_GROUP,
              request.getCommandId(),
              attempt,
              new ApplyDelta(expected, delta));
      if (result instanceof DeclarationApplied applied) {
        return applyReply(applied.version(), applied.changes());
      }
      boolean lostRace = result instanceof VersionConflict && anyVersion;
      if (!lostRace || attempt == MAX_APPLY_TRIES) {
        throw rejection(result);
      }
    }
  }

  private static void checkVersion(long expected, long current) {
    if (expected != current) {
      throw rejection(new VersionConflict(current));
    }
  }

  private static DeclarationDelta fullDelta(Declaration declaration) {
    return new DeclarationDelta(declaration, List.of(), List.of(), List.of());
  }

  private static ApplyReply applyReply(long version, List<String> changes) {
    return ApplyReply.newBuilder().setVersion(version).addAllChanges(changes).build();
  }

  @Override
  public void getDeclaration(
      GetDeclarationRequest request, StreamObserver<DeclarationReply> observer) {
    respond(observer, () -> OperatorMessages.toProto(readDeclaration()));
  }

  @Override
  public void watch(WatchRequest request, StreamObserver<DeclarationReply> observer) {
    long seen = request.getAfterVersion();
    Context context = Context.current();
    try {
      while (!context.isCancelled()) {
        DeclarationResult current = readDeclaration();
        if (current.version() > seen) {
          seen = current.version();
          observer.onNext(OperatorMessages.toProto(current));
        }
        Thread.sleep(WATCH_INTERVAL_MS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      observer.onCompleted();
    } catch (io.grpc.StatusRuntimeException e) {
      observer.onError(e);
    }
  }

  @Override
  public void drainEngine(DrainEngineRequest request, StreamObserver<ApplyReply> observer) {
    respond(
        observer,
        () -> {
          CommandResult result =
              propose(
                  ControllerProcess.META_GROUP,
                  request.getCommandId(),
                  1,
                  new SetEngineDraining(request.getEngine(), request.getDraining()));
          if (result instanceof DeclarationApplied applied) {
            return applyReply(applied.version(), applied.changes());
          }
          throw rejection(result);
        });
  }

  // ---- jobs

  @Override
  public void listJobs(ListJobsRequest request, StreamObserver<ListJobsReply> observer) {
    respond(
        observer,
        () -> {
          int requested = request.getLimit() == 0 ? DEFAULT_JOB_LIMIT : request.getLimit();
          int limit = Math.min(MAX_JOB_LIMIT, requested);
          List<JobView> jobs = new ArrayList<>();
          for (int group = 1; group <= partitions; group++) {
            QueryResult result = query(group, new ListJobs(request.getTenant(), "", limit));
            jobs.addAll(((JobListResult) result).jobs());
          }
          jobs.sort(Comparator.comparingLong(JobView::createdAtMs).reversed());
          ListJobsReply.Builder reply = ListJobsReply.newBuilder();
          jobs.stream().limit(limit).map(OperatorMessages::toProto).forEach(reply::addJobs);
          return reply.build();
        });
  }

  @Override
  public void cancelJob(CancelJobRequest request, StreamObserver<JobReply> observer) {
    respond(
        observer,
        () -> {
          int group =
              PartitionIds.partitionOf(request.getId(), partitions)
                  .orElseThrow(() -> failure(Status.NOT_FOUND, "no batch " + request.getId()));
          CommandResult result =
              propose(group, request.getCommandId(), 1, new CancelJob(request.getId(), ""));
          if (result instanceof JobAccepted accepted) {
            return JobReply.newBuilder().setJob(OperatorMessages.toProto(accepted.job())).build();
          }
          throw rejection(result);
        });
  }

  @Override
  public void status(StatusRequest request, StreamObserver<StatusReply> observer) {
    respond(observer, () -> OperatorMessages.toProto(controllerId, status.read()));
  }

  // ---- calls to the groups

  private DeclarationResult readDeclaration() {
    return (DeclarationResult) query(ControllerProcess.META_GROUP, new ReadDeclaration());
  }

  private QueryResult query(int group, Query query) {
    return await(client.query(group, query, CALL_TIMEOUT_MS));
  }

  private CommandResult propose(int group, CommandId id, int attempt, Command command) {
    if (id.getClientId().isEmpty()) {
      return await(client.propose(group, command, CALL_TIMEOUT_MS));
    }
    String clientId = attempt == 1 ? id.getClientId() : id.getClientId() + "#" + attempt;
    return await(client.propose(group, clientId, id.getRequestId(), command, CALL_TIMEOUT_MS));
  }

  private static <T> T await(CompletableFuture<Result<T, ControlError>> future) {
    Result<T, ControlError> result = future.join();
    if (result.isOk()) {
      return result.value();
    }
    ControlError error = result.error();
    String note = error.mayHaveRun() ? " (the command may have run: resend it)" : "";
    throw failure(Status.UNAVAILABLE, error.reason() + note);
  }

  private interface Call<T> {
    T run();
  }

  private static <T> void respond(StreamObserver<T> observer, Call<T> call) {
    try {
      T reply = call.run();
      observer.onNext(reply);
      observer.onCompleted();
    } catch (io.grpc.StatusRuntimeException e) {
      observer.onError(e);
    } catch (CompletionException | ClassCastException e) {
      observer.onError(failure(Status.INTERNAL, String.valueOf(e.getMessage())));
    }
  }

  private static io.grpc.StatusRuntimeException failure(Status status, String message) {
    return status.withDescription(message).asRuntimeException();
  }

  private static io.grpc.StatusRuntimeException rejection(CommandResult result) {
    if (result instanceof VersionConflict conflict) {
      return failure(
          Status.ABORTED, "version conflict: the current version is " + conflict.currentVersion());
    }
    if (result instanceof Rejected rejected) {
      boolean missing = rejected.code() == RejectionCode.NOT_FOUND;
      return failure(missing ? Status.NOT_FOUND : Status.INVALID_ARGUMENT, rejected.message());
    }
    return failure(Status.INTERNAL, "unexpected result " + result);
  }
}
