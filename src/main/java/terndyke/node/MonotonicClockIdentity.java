package terndyke.node;

import java.io.FileInputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Tells one monotonic clock from another. On Linux, System.nanoTime() of the HotSpot JVM is CLOCK_MONOTONIC: all processes share it from the
 * boot of the machine on, except those of a time namespace with an offset of its own.
 */
final class MonotonicClockIdentity {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final Path TIME_NAMESPACE_OFFSETS = Path.of("/proc/self/timens_offsets"); // missing in kernels without such namespaces
    private static final int MAX_ATTEMPTS = 50; // the system may have no descriptor for a while
    private static final long RETRY_MILLIS = 100;

    private MonotonicClockIdentity() { }

    /** A text that is equal in two processes only if they share the clock; empty if that cannot be known. */
    static String read() {
        return read(BOOT_ID, TIME_NAMESPACE_OFFSETS);
    }

    static String read(Path bootId, Path namespaceOffsets) {
        if (!bootId.toFile().exists()) {
            return "";
        }
        for (int attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
            try {
                String offsets = namespaceOffsets.toFile().exists() ? readFile(namespaceOffsets) : "";
                return String.join(" ", System.getProperty("java.vm.name"), readFile(bootId).strip(), offsets.strip().replaceAll("\\s+", " "));
            } catch (IOException e) {
                pause();
            }
        }
        return "";
    }

    /** Unlike the methods of java.nio.file, this takes no direct memory. */
    private static String readFile(Path path) throws IOException {
        try (FileInputStream in = new FileInputStream(path.toFile())) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
