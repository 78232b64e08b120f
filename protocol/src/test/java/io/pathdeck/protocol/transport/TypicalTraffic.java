package io.pathdeck.protocol.transport;

import io.pathdeck.protocol.codec.ObjectCodec;
import io.pathdeck.protocol.command.Command;
import io.pathdeck.protocol.command.CommandEnvelope;
import io.pathdeck.protocol.command.ListBatchResults;
import io.pathdeck.protocol.command.RecordBatchProgress;
import io.pathdeck.protocol.command.SubmitBatch;
import io.pathdeck.protocol.fleet.BatchItem;
import io.pathdeck.protocol.fleet.BatchOutcome;
import io.pathdeck.protocol.fleet.BatchProgress;
import io.pathdeck.protocol.fleet.BatchResult;
import io.pathdeck.protocol.fleet.CallerLimits;
import io.pathdeck.protocol.fleet.CallerTenant;
import io.pathdeck.protocol.fleet.EngineListDelta;
import io.pathdeck.protocol.fleet.FleetProcess;
import io.pathdeck.protocol.fleet.FleetRole;
import io.pathdeck.protocol.fleet.JobsGroupFounders;
import io.pathdeck.protocol.fleet.JobsGroupReport;
import io.pathdeck.protocol.fleet.ProcessListDelta;
import io.pathdeck.protocol.fleet.RouteKind;
import io.pathdeck.protocol.fleet.RouteSpec;
import io.pathdeck.protocol.fleet.RouteTable;
import io.pathdeck.protocol.fleet.RouteTarget;
import io.pathdeck.protocol.fleet.ServiceLimits;
import io.pathdeck.protocol.fleet.StreamOrigin;
import io.pathdeck.protocol.fleet.TenantUse;
import io.pathdeck.protocol.message.FleetHeartbeat;
import io.pathdeck.protocol.message.FleetUpdate;
import io.pathdeck.protocol.message.Message;
import io.pathdeck.protocol.message.ProposeRequest;
import io.pathdeck.protocol.message.QueryReply;
import io.pathdeck.protocol.message.RaftBatch;
import io.pathdeck.protocol.query.BatchResults;
import io.pathdeck.protocol.raft.AppendRequest;
import io.pathdeck.protocol.raft.AppendResponse;
import io.pathdeck.protocol.raft.GroupConfiguration;
import io.pathdeck.protocol.raft.LogEntry;
import io.pathdeck.protocol.raft.Member;
import io.pathdeck.protocol.raft.RaftHeader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * The messages of a fleet of 65 gateways, 13 stores in two groups and 9 coordinators that runs 13
 * items a second, and how many of each pass in a second.
 *
 * <p>How well events and bodies compress depends on what they hold, so there are two loads: of
 * words, and of random characters, which are the worst case.
 */
final class TypicalTraffic {
  private static final StreamOrigin ORIGIN = new StreamOrigin("service", "v1.2");

  private static final double ITEMS_PER_SECOND = 13;
  private static final int ITEMS_OF_JOB = 10;
  private static final double JOBS_PER_SECOND = ITEMS_PER_SECOND / ITEMS_OF_JOB;
  private static final int EVENTS_OF_ITEM = 173;
  private static final double SECONDS_OF_EVENT = 0.00323;
  private static final int TOKENS_OF_EVENT = 9;
  private static final int BODY_BYTES = 15_000;
  private static final int FOLLOWERS = 4;
  private static final int JOBS_GROUPS = 2;
  private static final double RECORDS_PER_SECOND = JOBS_GROUPS / 0.7;
  private static final double HEARTBEATS_PER_SECOND = 1 / 0.1;
  private static final int GATEWAYS = 65;
  private static final int PROCESSES = GATEWAYS + 13 + 9;
  private static final double REPORTS_PER_SECOND = PROCESSES / 0.3;
  private static final double SECONDS_OF_JOB = 8;
  private static final double READS_PER_SECOND = 2 * JOBS_PER_SECOND * SECONDS_OF_JOB;
  private static final int ROUTES = 40;
  private static final int TENANTS = 83;
  private static final double CONFIGURATIONS_PER_SECOND = 0.05;
  private static final String[] WORDS =
      ("the a for to of on and in with that this week day route crew truck street notice will be "
              + "pickup collected before after morning household container")
          .split(" ");

  private final Random random = new Random(1);
  private final boolean words;

  /** Creates the traffic of a load of words, or else of random characters. */
  TypicalTraffic(boolean words) {
    this.words = words;
  }

  /** A message and how often it passes between two processes, copies counted. */
  record Sent(String name, double perSecond, Message message) {
    int bytes(FrameCompression compression) {
      return TestFrameCompression.encode(compression, new Frame(Frame.Kind.REQUEST, 1, message))
          .length;
    }

    double bytesPerSecond(FrameCompression compression) {
      return perSecond * bytes(compression);
    }
  }

  List<Sent> messages() {
    double runningItems = ITEMS_PER_SECOND * EVENTS_OF_ITEM * SECONDS_OF_EVENT;
    double eventsOfRecord = ITEMS_PER_SECOND * EVENTS_OF_ITEM / RECORDS_PER_SECOND;
    int itemsOfRecord = (int) Math.max(1, Math.round(runningItems / JOBS_GROUPS));
    int eventsOfItem = (int) Math.round(eventsOfRecord / itemsOfRecord);
    SubmitBatch job = job();
    return List.of(
        new Sent("ProposeRequest: SubmitBatch", JOBS_PER_SECOND, proposal(job)),
        new Sent("AppendRequest: SubmitBatch", JOBS_PER_SECOND * FOLLOWERS, append(job)),
        new Sent(
            "AppendRequest: RecordBatchProgress",
            RECORDS_PER_SECOND * FOLLOWERS,
            append(progress(itemsOfRecord, eventsOfItem))),
        new Sent(
            "AppendRequest: ListBatchResults",
            ITEMS_PER_SECOND * FOLLOWERS,
            append(outcome(EVENTS_OF_ITEM / 10))),
        new Sent(
            "AppendRequest: no entries",
            HEARTBEATS_PER_SECOND * (JOBS_GROUPS * FOLLOWERS + FOLLOWERS),
            append()),
        new Sent(
            "AppendResponse",
            HEARTBEATS_PER_SECOND * (JOBS_GROUPS * FOLLOWERS + FOLLOWERS),
            new RaftBatch(List.of(new AppendResponse(header(), true, 90_000, 80_000)))),
        new Sent("QueryReply: BatchResults", READS_PER_SECOND, results(1)),
        new Sent("FleetHeartbeat", REPORTS_PER_SECOND, heartbeat()),
        new Sent("FleetUpdate, nothing new", REPORTS_PER_SECOND, update(null)),
        new Sent(
            "FleetUpdate with routes", PROCESSES * CONFIGURATIONS_PER_SECOND, update(routes())));
  }

  private String text(int tokens) {
    return IntStream.range(0, tokens)
        .mapToObj(token -> words ? WORDS[random.nextInt(WORDS.length)] : randomWord())
        .collect(Collectors.joining(" "));
  }

  private String randomWord() {
    return random.ints(4, '0', 'z' + 1).mapToObj(Character::toString).collect(Collectors.joining());
  }

  private String events(int count) {
    return IntStream.range(0, count)
        .mapToObj(event -> text(TOKENS_OF_EVENT))
        .collect(Collectors.joining("\n"));
  }

  private String id() {
    return String.format("%016x", random.nextLong());
  }

  private byte[] body() {
    byte[] body = new byte[BODY_BYTES];
    if (words) {
      byte[] text = text(BODY_BYTES).getBytes(StandardCharsets.UTF_8);
      System.arraycopy(text, 0, body, 0, BODY_BYTES);
    } else {
      random.nextBytes(body);
    }
    return body;
  }

  private SubmitBatch job() {
    List<BatchItem> items = new ArrayList<>();
    for (int i = 0; i < ITEMS_OF_JOB; i++) {
      Map<String, String> headers =
          Map.of("Model", "m", "Prompt-Size", "350,1557", "Shared-Prompt", id() + ":100");
      items.add(new BatchItem(id(), "/batch/notices/" + id(), headers, body(), 1_907, 1_557));
    }
    return new SubmitBatch(
        id(), "tenant-17", "notices", "notices.example", items, 3, 18_000, 60_000, 2_100_000);
  }

  private static Message proposal(Command command) {
    return new ProposeRequest(1, "gateway-12", 77_123, command);
  }

  private RecordBatchProgress progress(int items, int events) {
    return new RecordBatchProgress(
        IntStream.range(0, items)
            .mapToObj(
                item ->
                    new BatchProgress(id(), id(), ORIGIN, 20, 20 + events, events(events), false))
            .toList());
  }

  private ListBatchResults outcome(int events) {
    return new ListBatchResults(id(), List.of(new BatchOutcome(id(), true, 150, events(events))));
  }

  private Message results(int items) {
    return new QueryReply(
        new BatchResults(
            ITEMS_OF_JOB,
            items,
            IntStream.range(0, items)
                .mapToObj(item -> new BatchResult(id(), true, events(EVENTS_OF_ITEM)))
                .toList()));
  }

  private static RaftHeader header() {
    return new RaftHeader(1, 123_456_789, 7, 987_654_321, 9, 12);
  }

  private static Message append(Command... commands) {
    List<LogEntry> entries = new ArrayList<>();
    for (Command command : commands) {
      byte[] encoded = ObjectCodec.encode(new CommandEnvelope("store-3", 4_711, 600_000, command));
      entries.add(new LogEntry(90_001, 12, encoded, null));
    }
    return new RaftBatch(
        List.of(new AppendRequest(header(), 90_000, 12, entries, 90_000, 600_010)));
  }

  private static GroupConfiguration members(int group) {
    return new GroupConfiguration(
        IntStream.range(0, FOLLOWERS + 1)
            .mapToObj(
                member -> {
                  int id = 100 * group + member;
                  return new Member(7_000_000 + id, 3, true, "10.128.3." + id + ":7001");
                })
            .toList());
  }

  private static FleetProcess process() {
    return new FleetProcess(
        "front-zone-a-17", FleetRole.GATEWAY, "zone-a", 0, 5, "", "10.128.7.3:8080", true, 0, 0.36);
  }

  private static Message heartbeat() {
    List<TenantUse> uses =
        IntStream.range(0, 10).mapToObj(tenant -> new TenantUse("tenant-" + tenant, 3)).toList();
    return new FleetHeartbeat(process(), false, 12, 7, 4_000, 7, 900, null, 0, 0, uses);
  }

  private static Message update(RouteTable routes) {
    List<JobsGroupFounders> founders = new ArrayList<>();
    List<JobsGroupReport> reports = new ArrayList<>();
    for (int group = 1; group <= JOBS_GROUPS; group++) {
      founders.add(new JobsGroupFounders(group, members(group)));
      reports.add(new JobsGroupReport(group, 12, members(group)));
    }
    return new FleetUpdate(
        routes,
        new EngineListDelta(7, false, List.of(), List.of(), 4_000),
        new ProcessListDelta(7, false, List.of(), List.of(), 900),
        founders,
        reports,
        0,
        List.of(),
        List.of("tenant-1"),
        null,
        null);
  }

  private RouteTable routes() {
    List<RouteSpec> routes = new ArrayList<>();
    for (int i = 0; i < ROUTES; i++) {
      routes.add(
          new RouteSpec(
              "r-" + i,
              "host-" + i % 7 + ".example",
              "/prefix-" + i + "/",
              RouteKind.STREAM,
              5_057,
              303,
              0,
              List.of(new RouteTarget("calendar", 1)),
              2,
              true,
              true,
              200,
              0,
              0,
              0,
              false));
    }
    List<CallerTenant> tenants = new ArrayList<>();
    for (int i = 0; i < TENANTS; i++) {
      String digest = id() + id() + id() + id();
      tenants.add(new CallerTenant("tenant-" + i, List.of(digest), 0, 3.5, 7));
    }
    return new RouteTable(
        12,
        routes,
        List.of(new ServiceLimits("calendar", 550, 8, 72_000)),
        CallerLimits.NONE,
        tenants,
        new byte[16],
        new byte[0]);
  }
}
