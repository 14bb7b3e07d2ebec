package terndyke.node;

/**
 * All sizes, counts and times that limit a node, derived once at its start from the resources it is granted. Times are in
 * whole microseconds, sizes in bytes.
 */
public record Limits(
        int maxBodyBytes, int maxResponseBytes, int maxHeadBytes, int maxHeaders, int maxIdChars, int ioBufferBytes,
        long maxRequestMemoryBytes, long maxResponseMemoryBytes,
        int maxClientConnections, int maxExcessClientConnections, int listenBacklog,
        int maxEndpointConnections, int maxConcurrentProbes,
        int requestQueueCapacity, int maxEventsPerTurn, int maxHeldRecords, long maxHeldBytes, int maxEndedRecords,
        long maxJournalBytes, long journalReserveBytes,
        long connectTimeoutMicros, long idleConnectionTimeoutMicros, long responseCopyWindowMicros, long widenedCopyWindowMicros,
        long maxResponseCopyWindowMicros, long copyWindowRetentionMicros, long holdUpToleranceMicros,
        long undetectedHoldUpMicros, long lateCloseThresholdMicros,
        long responseReadTimeoutMicros,
        long requestReadTimeoutMicros, long firstRequestTimeoutMicros, long idleClientTimeoutMicros,
        long idleClientEvictionMicros,
        long silentClientTimeoutMicros, long silentClientEvictionMicros, long slowRequestEvictionMicros,
        int maxDiscardedBodyBytes, long clientResponseTimeoutMicros, long maxAdmissionDelayMicros,
        long watchWaitMicros, long watchSlackMicros, int maxWatchTimeoutMultiplier, long outdatedListHoldMicros, long retryDelayMicros,
        long responseTimeoutMicros, long probeTimeoutMicros, long journalFailureDelayMicros,
        long maxRecordTimeoutMicros, long maxPollWaitMicros, long selectIntervalMicros, long sweepIntervalMicros,
        long endedRecordRetentionMicros, long runRecordRetentionMicros,
        long goneEndpointRetentionMicros, int maxGoneEndpoints,
        long startTimeoutMicros, long maxStartRetryMicros, long warmUpTimeoutMicros, long shutdownGracePeriodMicros, long minShutdownMicros,
        long finalEventPollMicros, long closeTimeoutMicros,
        long failedActionDelayMicros, long overdueRecordMicros, long slowTurnThresholdMicros, long slowTurnLogIntervalMicros, long noticeDeadlineMicros, long noticeTimeoutMicros,
        long noticeRetryDelayMicros, int maxNoticeCalls, long noticeCallIntervalMicros, long maxNoticeRepeatMicros, int readyNoticeConnections,
            int readyWatchConnections) {

    /** Journal bytes of a record that has ended, with a shot that may have run. */
    public static final int ENDED_RECORD_JOURNAL_BYTES = 240;

    private static final int READY_NOTICE_CONNECTIONS = 8;
    private static final int FEW_READY_NOTICE_CONNECTIONS = 4; // where descriptors are few
    private static final int FEW_DESCRIPTORS = 512;
    private static final int OTHER_PLATFORM_CONNECTIONS = 10; // calls with notices, the list
    private static final long RUN_RECORD_RETENTION_MICROS = 30_000_000; // a client may come again with the id of a message that has run
    private static final int SPARE_DESCRIPTORS = 16; // for connections that are being closed
    private static final int LISTEN_BACKLOG = 1024; // clients wait there while all places for connections are taken
    private static final long SLOW_REQUEST_EVICTION_MICROS = 200_000; // longer than the node may be held up between two reads
    private static final long OUTDATED_LIST_HOLD_MICROS = 4_000_000; // then what a new address of discovery tells counts as known
    private static final int REQUEST_MEMORY_DIVISOR = 6; // of the heap: requests on their way to the decision thread
    private static final int RESPONSE_MEMORY_DIVISOR = 12; // of the heap: responses of endpoints and the platform
    private static final int RECORD_MEMORY_DIVISOR = 5; // of the heap: records held

    /** How many connections of clients may be open, with the spare places. */
    public int maxOpenClientConnections() {
        return maxClientConnections + maxExcessClientConnections;
    }

    /**
     * Divides the granted memory (MB), file descriptors and disk (MB) among the node's parts, within the delivery settings'
     * limits on concurrent calls (slots) and on records held. The connect and idle time-outs are in microseconds.
     */
    public static Limits fromResources(int memoryMb, int sockets, double diskMb, int slots, int maxPendingRecords,
            long connectTimeout, long idleTimeout) {
        return fromResources(memoryMb, Runtime.getRuntime().maxMemory(), sockets, diskMb, slots, maxPendingRecords,
                connectTimeout, idleTimeout);
    }

    /** Like {@link #fromResources(int, int, double, int, int, long, long)}, for a heap that is limited to the given bytes. */
    static Limits fromResources(int memoryMb, long maxHeapBytes, int sockets, double diskMb, int slots, int maxPendingRecords,
            long connectTimeout, long idleTimeout) {
        long heapBytes = Math.min(memoryMb * 1_000_000L, maxHeapBytes);
        int descriptors = Math.max(64, sockets - 48); // 48 for the process itself: jar, selectors, journal, log
        int endpointConnections = Math.max(8, Math.min(descriptors / 2, 8 * slots));
        int readyNoticeConnections = descriptors < FEW_DESCRIPTORS ? FEW_READY_NOTICE_CONNECTIONS : READY_NOTICE_CONNECTIONS;
        int platformConnections = OTHER_PLATFORM_CONNECTIONS + 2 * readyNoticeConnections; // unused and used ones
        int clientConnections = Math.max(16, Math.min(descriptors - endpointConnections - platformConnections - SPARE_DESCRIPTORS, memoryMb * 2));
        long journalBytes = Math.max(64 << 10, (long) (diskMb * 1_000_000) - (16 << 10));
        int endedRecords = (int) Math.min(16 * 1024, journalBytes / 8 / ENDED_RECORD_JOURNAL_BYTES);
        return new Limits(64 << 10, 2 << 20, 8 << 10, 64, 200, 4 << 10,
                heapBytes / REQUEST_MEMORY_DIVISOR, heapBytes / RESPONSE_MEMORY_DIVISOR,
                clientConnections * 7 / 8, clientConnections / 8, LISTEN_BACKLOG, endpointConnections,
                Math.max(4, endpointConnections / 8),
                1024, 256, maxPendingRecords, Math.min(memoryMb * 1_000_000L / 8, heapBytes / RECORD_MEMORY_DIVISOR), endedRecords,
                journalBytes, journalBytes / 8,
                connectTimeout, idleTimeout <= 0 ? 0 : idleTimeout * 4 / 5,
                50_000, 250_000, 2_000_000, 60_000_000, 30_000, 50_000, 100_000, 1_000_000,
                2_000_000, 2_600_000, 3_000_000, 2_000_000, 2_100_000, 50_000, SLOW_REQUEST_EVICTION_MICROS, 8 << 20, 400_000, 350_000,
                2_000_000, 700_000, 3, OUTDATED_LIST_HOLD_MICROS, 200_000, 1_000_000, 1_500_000, 1_000_000,
                86_400_000_000L, 100_000, 100_000, 500_000, 1_000_000, RUN_RECORD_RETENTION_MICROS,
                60_000_000, 1024, 10_000_000, 20_000_000, 300_000, 2_600_000, 1_000_000, 20_000, 200_000,
                20_000, 50_000, 100_000, 1_000_000, 300_000, 300_000, 25_000, 8, 40_000, 150_000, readyNoticeConnections, 1);
    }
}
