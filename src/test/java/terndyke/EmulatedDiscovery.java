package terndyke;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;

/** The platform as discovery and as receiver of notices: a list with revisions, whole or changes alone, and watches that wait. */
final class EmulatedDiscovery {
    private static final long SILENCE_MILLIS = 60_000;

    private final Map<String, Change> lastChanges = new LinkedHashMap<>(); // by uid
    private final Set<String> noticedIds = ConcurrentHashMap.newKeySet();
    private long revision;
    private long writtenRevision;
    private boolean silent;

    private record Change(long revision, String entry, boolean left) { }

    EmulatedDiscovery(long firstRevision) {
        revision = firstRevision - 1;
    }

    /** An entry of a list; boot_ms says that the endpoint started long ago. */
    static String entry(String uid, String address, int destination, String state) {
        return entry(uid, address, destination, state, 0);
    }

    static String entry(String uid, String address, int destination, String state, long bootMillis) {
        return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address + "\",\"az\":\"east\",\"model\":\"a\",\"pod_group\":" + destination
                + ",\"state\":\"" + state + "\",\"capacity_hint\":50,\"boot_ms\":" + bootMillis + "}";
    }

    /** Changes one entry, as the next revision. */
    synchronized void change(String uid, String address, int destination, String state) {
        change(uid, address, destination, state, 0);
    }

    synchronized void change(String uid, String address, int destination, String state, long bootMillis) {
        lastChanges.remove(uid);
        lastChanges.put(uid, new Change(++revision, entry(uid, address, destination, state, bootMillis), state.equals("left")));
        notifyAll();
    }

    /** From now on, or until now, no call gets an answer; notices do. */
    synchronized void setSilent(boolean isSilent) {
        silent = isSilent;
        notifyAll();
    }

    synchronized long revision() {
        return revision;
    }

    /** Waits until the present revision has been passed on to a node. */
    synchronized void awaitWritten() throws InterruptedException {
        while (writtenRevision < revision) {
            wait(SILENCE_MILLIS);
        }
        Thread.sleep(100); // the node reads and applies it
    }

    boolean isNoticed(String id) {
        return noticedIds.contains(id);
    }

    /** The whole list, as in the configuration of a node. */
    synchronized String wholeList() {
        return list(true, lastChanges.values().stream().filter(change -> !change.left).map(Change::entry)
                .collect(Collectors.joining(",")));
    }

    private String list(boolean whole, String entries) {
        return "{\"rev\":" + revision + ",\"all\":" + whole + ",\"targets\":[" + entries + "]}";
    }

    Response answer(Request request) {
        if (request.path().equals("/v2/finals")) {
            request.body().lines().map(ProcessTestSupport::noticeId).forEach(noticedIds::add);
            return Response.complete(ProcessTestSupport.NO_CONTENT);
        }
        try {
            return answerCall(request.path());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Response.NO_RESPONSE;
        }
    }

    private synchronized Response answerCall(String path) throws InterruptedException {
        long knownRevision = parameter(path, "after=");
        long deadlineNanos = System.nanoTime() + parameter(path, "wait_ms=") * 1_000_000;
        while (!silent && path.contains("after=") && revision <= knownRevision && System.nanoTime() < deadlineNanos) {
            wait(10);
        }
        if (silent) {
            return Response.NO_RESPONSE;
        }
        writtenRevision = revision;
        notifyAll();
        return Response.json(!path.contains("after=") ? wholeList() : list(false, lastChanges.values().stream()
                .filter(change -> change.revision > knownRevision).map(Change::entry).collect(Collectors.joining(","))));
    }

    private static long parameter(String path, String name) {
        int start = path.indexOf(name);
        return start < 0 ? 0 : Long.parseLong(path.substring(start + name.length()).split("&")[0]);
    }
}
