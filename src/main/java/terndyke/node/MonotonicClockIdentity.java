package terndyke.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Tells one monotonic clock from another. On Linux, System.nanoTime() of the HotSpot JVM is CLOCK_MONOTONIC: all processes share it from the
 * boot of the machine on, except those of a time namespace with an offset of its own.
 */
final class MonotonicClockIdentity {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");
    private static final Path TIME_NAMESPACE_OFFSETS = Path.of("/proc/self/timens_offsets");

    private MonotonicClockIdentity() { }

    /** A text that is equal in two processes only if they share the clock; empty if that cannot be known. */
    static String read() {
        try {
            String namespaceOffsets = Files.exists(TIME_NAMESPACE_OFFSETS) ? Files.readString(TIME_NAMESPACE_OFFSETS) : "";
            return String.join(" ", System.getProperty("java.vm.name"), Files.readString(BOOT_ID).strip(),
                    namespaceOffsets.strip().replaceAll("\\s+", " "));
        } catch (IOException e) {
            return "";
        }
    }
}
