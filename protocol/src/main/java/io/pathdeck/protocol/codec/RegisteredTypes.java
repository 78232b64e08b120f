package io.pathdeck.protocol.codec;

import io.pathdeck.protocol.command.AdvanceTime;
import io.pathdeck.protocol.command.AppendFileChunk;
import io.pathdeck.protocol.command.ApplyDelta;
import io.pathdeck.protocol.command.BatchAccepted;
import io.pathdeck.protocol.command.CancelJob;
import io.pathdeck.protocol.command.ClaimExists;
import io.pathdeck.protocol.command.ClaimGranted;
import io.pathdeck.protocol.command.ClaimRequest;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.CommitResults;
import io.pathdeck.protocol.command.CompleteClaim;
import io.pathdeck.protocol.command.CountQuarantineTrial;
import io.pathdeck.protocol.command.CreateFile;
import io.pathdeck.protocol.command.DeclarationApplied;
import io.pathdeck.protocol.command.DiscardBatchProgress;
import io.pathdeck.protocol.command.Done;
import io.pathdeck.protocol.command.EndBatch;
import io.pathdeck.protocol.command.EvacuatedZonesHeld;
import io.pathdeck.protocol.command.FileStored;
import io.pathdeck.protocol.command.FoundJobsGroups;
import io.pathdeck.protocol.command.FoundJobsGroupsInRegions;
import io.pathdeck.protocol.command.ItemsLeased;
import io.pathdeck.protocol.command.JobAccepted;
import io.pathdeck.protocol.command.KeyReserved;
import io.pathdeck.protocol.command.LeaseItems;
import io.pathdeck.protocol.command.LeasesRenewed;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.ListBatchResultsV1;
import io.pathdeck.protocol.command.PutRouteTable;
import io.pathdeck.protocol.command.PutRouteTableV1;
import io.pathdeck.protocol.command.QuarantineRequests;
import io.pathdeck.protocol.command.QuotaExceeded;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.RecordBatchProgressV1;
import io.pathdeck.protocol.command.RecordBatchProgressV2;
import io.pathdeck.protocol.command.RecordItemCrashes;
import io.pathdeck.protocol.command.Rejected;
import io.pathdeck.protocol.command.RejectionCode;
import io.pathdeck.protocol.command.ReleaseClaim;
import io.pathdeck.protocol.command.ReleaseItems;
import io.pathdeck.protocol.command.ReleaseRequests;
import io.pathdeck.protocol.command.RenewLeases;
import io.pathdeck.protocol.command.ReserveKey;
import io.pathdeck.protocol.command.ResultsCommitted;
import io.pathdeck.protocol.command.RouteTableHeld;
import io.pathdeck.protocol.command.SealFile;
import io.pathdeck.protocol.command.SetEngineDraining;
import io.pathdeck.protocol.command.SetStoreLeaving;
import io.pathdeck.protocol.command.SetZoneEvacuated;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.command.SubmitJob;
import io.pathdeck.protocol.command.VersionConflict;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.EngineEnd;
import io.pathdeck.protocol.fleet.EngineInstance;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.EvacuatedZones;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.ItemCrashes;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupRegions;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.QuarantineList;
import io.pathdeck.protocol.fleet.RequestFingerprint;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.ServedFingerprint;
import io.pathdeck.protocol.fleet.ServiceLimits;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.StreamOriginRecord;
import io.pathdeck.protocol.fleet.TenantUse;
import io.pathdeck.protocol.fleet.TrialState;
import io.pathdeck.protocol.legacy.BatchJobRecordV1;
import io.pathdeck.protocol.legacy.BatchJobRecordV2;
import io.pathdeck.protocol.legacy.BatchOutcomeV1;
import io.pathdeck.protocol.legacy.BatchProgressV1;
import io.pathdeck.protocol.legacy.BatchProgressV2;
import io.pathdeck.protocol.legacy.CallerTenantV1;
import io.pathdeck.protocol.legacy.FleetRecordV1;
import io.pathdeck.protocol.legacy.RouteSpecV1;
import io.pathdeck.protocol.legacy.RouteTableV1;
import io.pathdeck.protocol.legacy.ServiceLimitsV1;
import io.pathdeck.protocol.message.AdmissionReply;
import io.pathdeck.protocol.message.AdmissionRequest;
import io.pathdeck.protocol.message.ConfigurationHeartbeat;
import io.pathdeck.protocol.message.ConfigurationUpdate;
import io.pathdeck.protocol.message.EngineEndNoted;
import io.pathdeck.protocol.message.EngineEndNotice;
import io.pathdeck.protocol.message.FindStreamOrigin;
import io.pathdeck.protocol.message.FirstStartNotice;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import io.pathdeck.protocol.message.NotLeader;
import io.pathdeck.protocol.message.Ping;
import io.pathdeck.protocol.message.ProposeReply;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.QueryRequest;
import io.pathdeck.protocol.message.RaftBatch;
import io.pathdeck.protocol.message.RecordStreamOrigins;
import io.pathdeck.protocol.message.StreamOriginReply;
import io.pathdeck.protocol.message.TrialNotice;
import io.pathdeck.protocol.message.TrialReply;
import io.pathdeck.protocol.message.TrialRequest;
import io.pathdeck.protocol.message.Unavailable;
import io.pathdeck.protocol.model.ClaimState;
import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.DeclarationDelta;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.FileView;
import io.pathdeck.protocol.model.ItemRef;
import io.pathdeck.protocol.model.ItemResult;
import io.pathdeck.protocol.model.JobSpec;
import io.pathdeck.protocol.model.JobStatus;
import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.model.LeasedItem;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantBacklog;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.protocol.query.BacklogResult;
import io.pathdeck.protocol.query.BatchItemBody;
import io.pathdeck.protocol.query.BatchMissing;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.query.DeclarationResult;
import io.pathdeck.protocol.query.FileResult;
import io.pathdeck.protocol.query.JobListResult;
import io.pathdeck.protocol.query.JobResult;
import io.pathdeck.protocol.query.LinesResult;
import io.pathdeck.protocol.query.ListJobs;
import io.pathdeck.protocol.query.NotFound;
import io.pathdeck.protocol.query.ReadBacklog;
import io.pathdeck.protocol.query.ReadBatchItem;
import io.pathdeck.protocol.query.ReadBatchResults;
import io.pathdeck.protocol.query.ReadDeclaration;
import io.pathdeck.protocol.query.ReadFile;
import io.pathdeck.protocol.query.ReadFileLines;
import io.pathdeck.protocol.query.ReadJob;
import io.pathdeck.protocol.query.ReadResults;
import io.pathdeck.protocol.query.ReadRouteTable;
import io.pathdeck.protocol.query.RouteTableResult;
import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.AppendResponse;
import io.pathdeck.protocol.raft.BootstrapRecord;
import io.pathdeck.protocol.raft.EntryRecord;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.HardStateRecord;
import io.pathdeck.protocol.raft.JoinRequest;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import io.pathdeck.protocol.raft.ResetRecord;
import io.pathdeck.protocol.raft.SnapshotChunk;
import io.pathdeck.protocol.raft.SnapshotChunkResponse;
import io.pathdeck.protocol.raft.TimeoutNow;
import io.pathdeck.protocol.raft.VoteRequest;
import io.pathdeck.protocol.raft.VoteResponse;
import io.pathdeck.protocol.snapshot.BatchJobRecord;
import io.pathdeck.protocol.snapshot.ClaimRecord;
import io.pathdeck.protocol.snapshot.DedupRecord;
import io.pathdeck.protocol.snapshot.EvacuationRecord;
import io.pathdeck.protocol.snapshot.FileChunkRecord;
import io.pathdeck.protocol.snapshot.FileRecord;
import io.pathdeck.protocol.snapshot.FleetRecord;
import io.pathdeck.protocol.snapshot.ItemCrashesRecord;
import io.pathdeck.protocol.snapshot.JobRecord;
import io.pathdeck.protocol.snapshot.JobsGroupRegionsRecord;
import io.pathdeck.protocol.snapshot.JobsHeaderRecord;
import io.pathdeck.protocol.snapshot.KeyRecord;
import io.pathdeck.protocol.snapshot.LeaseRecord;
import io.pathdeck.protocol.snapshot.MetaRecord;
import io.pathdeck.protocol.snapshot.QuarantineRecord;
import io.pathdeck.protocol.snapshot.QuarantineTrialsRecord;
import io.pathdeck.protocol.snapshot.QueueRecord;
import io.pathdeck.protocol.snapshot.ResultRecord;
import io.pathdeck.protocol.snapshot.SnapshotEndRecord;
import io.pathdeck.protocol.snapshot.SnapshotHeaderRecord;
import java.util.List;

/**
 * The types that may be encoded. A type's position is its identifier on the wire and on disk, so
 * new types are only added at the end. Stored records keep their components: a form that grows
 * moves to {@code protocol.legacy} and keeps its position there.
 */
final class RegisteredTypes {
  /** Identifiers below this one belong to the codec's own types. */
  static final int FIRST_ID = 300;

  static final List<Class<?>> TYPES =
      List.of(
          TenantSpec.class,
          ServiceSpec.class,
          EngineSpec.class,
          Declaration.class,
          JobStatus.class,
          JobSpec.class,
          JobView.class,
          FileView.class,
          ItemRef.class,
          LeasedItem.class,
          ItemResult.class,
          ClaimState.class,
          Member.class,
          GroupConfiguration.class,
          LogEntry.class,
          RaftHeader.class,
          VoteRequest.class,
          VoteResponse.class,
          AppendRequest.class,
          AppendResponse.class,
          SnapshotChunk.class,
          SnapshotChunkResponse.class,
          JoinRequest.class,
          EntryRecord.class,
          HardStateRecord.class,
          BootstrapRecord.class,
          ApplyDelta.class,
          SetEngineDraining.class,
          CreateFile.class,
          AppendFileChunk.class,
          SealFile.class,
          SubmitJob.class,
          CancelJob.class,
          LeaseItems.class,
          RenewLeases.class,
          CommitResults.class,
          ReleaseItems.class,
          ReserveKey.class,
          ClaimRequest.class,
          CompleteClaim.class,
          ReleaseClaim.class,
          CommandEnvelope.class,
          RejectionCode.class,
          DeclarationApplied.class,
          VersionConflict.class,
          Rejected.class,
          Done.class,
          FileStored.class,
          JobAccepted.class,
          ItemsLeased.class,
          LeasesRenewed.class,
          ResultsCommitted.class,
          KeyReserved.class,
          ClaimGranted.class,
          ClaimExists.class,
          ReadDeclaration.class,
          ReadJob.class,
          ListJobs.class,
          ReadFile.class,
          ReadFileLines.class,
          ReadResults.class,
          DeclarationResult.class,
          JobResult.class,
          JobListResult.class,
          FileResult.class,
          LinesResult.class,
          NotFound.class,
          ProposeRequest.class,
          ProposeReply.class,
          QueryRequest.class,
          QueryReply.class,
          NotLeader.class,
          Unavailable.class,
          ConfigurationHeartbeat.class,
          ConfigurationUpdate.class,
          RaftBatch.class,
          DeclarationDelta.class,
          TenantBacklog.class,
          ReadBacklog.class,
          BacklogResult.class,
          MetaRecord.class,
          DedupRecord.class,
          JobsHeaderRecord.class,
          FileRecord.class,
          FileChunkRecord.class,
          JobRecord.class,
          ResultRecord.class,
          LeaseRecord.class,
          KeyRecord.class,
          ClaimRecord.class,
          ResetRecord.class,
          SnapshotHeaderRecord.class,
          SnapshotEndRecord.class,
          AdvanceTime.class,
          QueueRecord.class,
          RouteKind.class,
          RouteTarget.class,
          RouteSpecV1.class,
          ServiceLimitsV1.class,
          RouteTableV1.class,
          EngineInstance.class,
          FleetRole.class,
          FleetProcess.class,
          JobsGroupFounders.class,
          JobsGroupReport.class,
          FleetHeartbeat.class,
          FleetUpdate.class,
          BatchItem.class,
          BatchResult.class,
          PutRouteTableV1.class,
          FoundJobsGroups.class,
          SetStoreLeaving.class,
          SubmitBatch.class,
          ListBatchResultsV1.class,
          EndBatch.class,
          RouteTableHeld.class,
          BatchAccepted.class,
          QuotaExceeded.class,
          ReadRouteTable.class,
          RouteTableResult.class,
          ReadBatchResults.class,
          BatchResults.class,
          ReadBatchItem.class,
          BatchItemBody.class,
          BatchMissing.class,
          Ping.class,
          EngineListDelta.class,
          ProcessListDelta.class,
          FleetRecordV1.class,
          BatchJobRecordV1.class,
          BatchProgressV1.class,
          BatchOutcomeV1.class,
          RecordBatchProgressV1.class,
          CallerLimits.class,
          TimeoutNow.class,
          CallerTenantV1.class,
          TenantUse.class,
          AdmissionRequest.class,
          AdmissionReply.class,
          RequestFingerprint.class,
          EngineEnd.class,
          QuarantineList.class,
          EngineEndNotice.class,
          EngineEndNoted.class,
          QuarantineRequests.class,
          ReleaseRequests.class,
          QuarantineRecord.class,
          RouteSpec.class,
          ServiceLimits.class,
          CallerTenant.class,
          RouteTable.class,
          PutRouteTable.class,
          FleetRecord.class,
          EvacuatedZones.class,
          SetZoneEvacuated.class,
          EvacuationRecord.class,
          EvacuatedZonesHeld.class,
          JobsGroupRegions.class,
          FoundJobsGroupsInRegions.class,
          JobsGroupRegionsRecord.class,
          StreamOrigin.class,
          StreamOriginRecord.class,
          RecordStreamOrigins.class,
          FindStreamOrigin.class,
          StreamOriginReply.class,
          BatchProgressV2.class,
          RecordBatchProgressV2.class,
          DiscardBatchProgress.class,
          BatchJobRecordV2.class,
          ServedFingerprint.class,
          TrialRequest.class,
          TrialReply.class,
          CountQuarantineTrial.class,
          QuarantineTrialsRecord.class,
          ItemCrashes.class,
          RecordItemCrashes.class,
          ItemCrashesRecord.class,
          BatchProgress.class,
          RecordBatchProgress.class,
          BatchOutcome.class,
          ListBatchResults.class,
          BatchJobRecord.class,
          FirstStartNotice.class,
          TrialState.class,
          TrialNotice.class);

  private RegisteredTypes() {}
}
