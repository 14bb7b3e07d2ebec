package terndyke.node;

/**
 * All sizes, counts and times of a node, filled once at its start from what the machine grants. Times are whole
 * microseconds, sizes are bytes.
 */
public record Limits(
        int bodyBytes, int answerBytes, int lineBytes, int headers, int idChars, int bufferBytes,
        int clientConnections, int spareConnections, int comingConnections, int backlog, int endpointConnections, int probes,
        int inbox, int wordsATurn, int records, long heldBytes, int remembered,
        long journalBytes, long journalReserve,
        long connectTimeout, long idleClose, long lineRest, long restOfAnswer,
        long halfRequest, long firstRequest, long clientIdle, long idleAtLeast, long silentFor, long silentAtLeast,
        int requestsWaiting, int passedOver, long answerWithin,
        long watchWait, long watchSlack, int patientBreaks, long resend, long unanswered, long probeTimeout, long unbooked,
        long longestRecord, long longestSleep, long selectEvery, long sweepEvery, long rememberFor,
        long rememberGone, int goneAtMost,
        long startWithin, long rehearse, long leaveWithin, long leaveLast, long lastWords, long closeWithin,
        long slowTurn, long slowLineEvery, long noticeWithin, long noticeTimeout, long noticeRest) {

    /** Shares out a machine's memory, descriptors and disk, with the terms' bounds on calls and records. */
    public static Limits shareOut(int memoryMb, int sockets, double diskMb, int slots, int holdingRoom,
            long connectTimeout, long idleClose) {
        int descriptors = Math.max(64, sockets - 48); // the program's own: jar, selectors, journal, log
        int calls = Math.max(8, Math.min(descriptors / 2, 8 * slots));
        int coming = 16; // accepted and not yet looked at
        int clients = Math.max(16, Math.min(descriptors - calls - 8 - coming, memoryMb * 2));
        long disk = Math.max(64 << 10, (long) (diskMb * 1_000_000) - (16 << 10));
        int remembered = (int) Math.min(16 * 1024, disk / 8 / 160);
        return new Limits(64 << 10, 2 << 20, 8 << 10, 64, 200, 4 << 10,
                clients * 7 / 8, clients / 8, coming, 256, calls, Math.max(4, calls / 8),
                1024, 256, holdingRoom, memoryMb * 1_000_000L / 8, remembered,
                disk, disk / 8,
                connectTimeout, idleClose <= 0 ? 0 : idleClose * 4 / 5, 10_000, 1_000_000,
                2_000_000, 2_600_000, 3_000_000, 2_000_000, 2_100_000, 50_000, 8, 8 << 20, 350_000,
                2_000_000, 700_000, 3, 200_000, 1_000_000, 1_500_000, 1_000_000,
                86_400_000_000L, 100_000, 100_000, 500_000, 1_000_000,
                60_000_000, 1024, 10_000_000, 300_000, 2_600_000, 1_000_000, 20_000, 200_000,
                100_000, 1_000_000, 300_000, 150_000, 25_000);
    }
}
