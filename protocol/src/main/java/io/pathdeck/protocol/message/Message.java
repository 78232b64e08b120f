package io.pathdeck.protocol.message;

/** A message between two processes of the system. */
public sealed interface Message
    permits AdmissionReply,
        AdmissionRequest,
        ConfigurationHeartbeat,
        ConfigurationUpdate,
        EngineEndNotice,
        EngineEndNoted,
        FindStreamOrigin,
        FirstStartNotice,
        FleetHeartbeat,
        FleetUpdate,
        NotLeader,
        Ping,
        ProposeReply,
        ProposeRequest,
        QueryReply,
        QueryRequest,
        RaftBatch,
        RecordStreamOrigins,
        StreamOriginReply,
        TrialNotice,
        TrialReply,
        TrialRequest,
        Unavailable {}
