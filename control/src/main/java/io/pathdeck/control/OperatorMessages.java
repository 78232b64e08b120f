package io.pathdeck.control;

import io.pathdeck.protocol.generated.DeclarationReply;
import io.pathdeck.protocol.generated.Engine;
import io.pathdeck.protocol.generated.GroupStatus;
import io.pathdeck.protocol.generated.Job;
import io.pathdeck.protocol.generated.Replica;
import io.pathdeck.protocol.generated.Service;
import io.pathdeck.protocol.generated.StatusReply;
import io.pathdeck.protocol.generated.Tenant;
import io.pathdeck.protocol.model.Declaration;
import io.pathdeck.protocol.model.EngineSpec;
import io.pathdeck.protocol.model.JobView;
import io.pathdeck.protocol.model.ServiceSpec;
import io.pathdeck.protocol.model.TenantSpec;
import io.pathdeck.protocol.query.DeclarationResult;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Translates between the operators' schema and the internal model. */
public final class OperatorMessages {
  private OperatorMessages() {}

  /** The internal form of a declaration. */
  public static Declaration fromProto(io.pathdeck.protocol.generated.Declaration declaration) {
    List<TenantSpec> tenants = new ArrayList<>();
    for (Tenant tenant : declaration.getTenantsList()) {
      tenants.add(
          new TenantSpec(
              tenant.getName(),
              tenant.getWeight(),
              new ArrayList<>(tenant.getKeyHashesList()),
              tenant.getMaxConcurrentRequests(),
              tenant.getRequestsPerSecond()));
    }
    List<ServiceSpec> services = new ArrayList<>();
    for (Service service : declaration.getServicesList()) {
      services.add(new ServiceSpec(service.getName(), service.getModel(), service.getWeight()));
    }
    List<EngineSpec> engines = new ArrayList<>();
    for (Engine engine : declaration.getEnginesList()) {
      engines.add(
          new EngineSpec(
              engine.getName(),
              engine.getAddress(),
              engine.getZone(),
              engine.getService(),
              engine.getBatchSlots(),
              engine.getDraining()));
    }
    return new Declaration(tenants, services, engines);
  }

  /** The schema's form of a declaration. */
  public static DeclarationReply toProto(DeclarationResult result) {
    return DeclarationReply.newBuilder()
        .setVersion(result.version())
        .setDeclaration(toProto(result.declaration()))
        .build();
  }

  private static io.pathdeck.protocol.generated.Declaration toProto(Declaration declaration) {
    var builder = io.pathdeck.protocol.generated.Declaration.newBuilder();
    for (TenantSpec tenant : declaration.tenants()) {
      builder.addTenants(
          Tenant.newBuilder()
              .setName(tenant.name())
              .setWeight(tenant.weight())
              .addAllKeyHashes(tenant.keyHashes())
              .setMaxConcurrentRequests(tenant.maxConcurrentRequests())
              .setRequestsPerSecond(tenant.requestsPerSecond()));
    }
    for (ServiceSpec service : declaration.services()) {
      builder.addServices(
          Service.newBuilder()
              .setName(service.name())
              .setModel(service.model())
              .setWeight(service.weight()));
    }
    for (EngineSpec engine : declaration.engines()) {
      builder.addEngines(
          Engine.newBuilder()
              .setName(engine.name())
              .setAddress(engine.address())
              .setZone(engine.zone())
              .setService(engine.service())
              .setBatchSlots(engine.batchSlots())
              .setDraining(engine.draining()));
    }
    return builder.build();
  }

  static Job toProto(JobView job) {
    return Job.newBuilder()
        .setId(job.spec().jobId())
        .setTenant(job.spec().tenant())
        .setService(job.spec().service())
        .setStatus(job.status().name().toLowerCase(Locale.ROOT))
        .setTotal(job.total())
        .setCompleted(job.succeeded())
        .setFailed(job.failed())
        .setCreatedAtMs(job.createdAtMs())
        .build();
  }

  static StatusReply toProto(int controllerId, ControllerStatus status) {
    StatusReply.Builder reply = StatusReply.newBuilder().setControllerId(controllerId);
    for (ControllerStatus.GroupView group : status.groups()) {
      GroupStatus.Builder view =
          GroupStatus.newBuilder()
              .setGroup(group.group() == 0 ? "meta" : "jobs-" + group.group())
              .setRole(group.role().name().toLowerCase(Locale.ROOT))
              .setTerm(group.term())
              .setLeaderId(group.leaderId())
              .setCommitIndex(group.commitIndex())
              .setAppliedIndex(group.appliedIndex());
      for (ControllerStatus.MemberView member : group.members()) {
        view.addReplicas(
            Replica.newBuilder()
                .setId(member.member().id())
                .setIncarnation(member.member().incarnation())
                .setVoter(member.member().voter())
                .setMatchIndex(member.matchIndex()));
      }
      reply.addGroups(view);
    }
    return reply.build();
  }
}
