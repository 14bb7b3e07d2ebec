package terndyke;

import static org.junit.jupiter.api.Assertions.assertTrue;
import static terndyke.ProcessTestSupport.OK;
import static terndyke.ProcessTestSupport.sleep;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import terndyke.RawServer.Request;
import terndyke.RawServer.Response;
import terndyke.SystemFaultShim.Operation;
import terndyke.SystemFaultShim.SystemError;

/** Sends SIGHUP to a node while its configuration cannot be read. */
class ReloadFaultProcessTest {
    private static final long FAULT_MILLIS = 1_000;
    private static final long FOLLOWED_MILLIS = 2_000; // after the fault

    private final AtomicInteger callsAtNewAddress = new AtomicInteger();

    @TempDir
    Path folder;

    private Response answerPlatform(Request request, RawServer endpoint, AtomicInteger calls) {
        calls.incrementAndGet();
        return ProcessTestSupport.answerPlatform(request, endpoint.address(), 1, notice -> { });
    }

    /** Guards against a node that never follows discovery to its new address because the file could not be opened at that moment. */
    @Test
    @Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void theNewAddressIsTakenUpAfterTheConfigurationCouldNotBeOpened() throws Exception {
        SystemFaultShim shim = SystemFaultShim.build(folder, folder);
        try (RawServer endpoint = new RawServer(call -> Response.complete(OK));
                RawServer platform = new RawServer(request -> answerPlatform(request, endpoint, new AtomicInteger()));
                RawServer newPlatform = new RawServer(request -> answerPlatform(request, endpoint, callsAtNewAddress));
                TestNodeProcess node = TestNodeProcess.startServing(folder, shim.shellPrefix(), platform.address())) {
            TestNodeProcess.writeConfiguration(folder, node.address(), newPlatform.address());
            shim.fail(Operation.FILE_OPEN, SystemError.ENFILE);
            node.sendHangup();
            sleep(FAULT_MILLIS);
            shim.restoreAll();
            sleep(FOLLOWED_MILLIS);
            assertTrue(callsAtNewAddress.get() > 0, "the node asks discovery at its old address: " + node.logLines());
            assertTrue(node.isAlive());
        }
    }
}
