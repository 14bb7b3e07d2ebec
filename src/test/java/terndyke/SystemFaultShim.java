package terndyke;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assumptions.assumeTrue;

import java.io.File;
import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.List;

/**
 * Makes system calls of a node process fail, and steps its wall clock, by a library (src/test/c/fault_shim.c) that is built here and loaded
 * into the process. Several processes, one after another, may share a shim and its faults. Without a C compiler the test is reported as
 * skipped.
 */
final class SystemFaultShim {
    private static final int CONTROL_BYTES = 4096;
    private static final int FOLDER_BYTES = 1024;

    /** The errors of the C library that the tests use, by their numbers on Linux. */
    enum SystemError {
        EINTR(4), EIO(5), ENOMEM(12), ENFILE(23), EMFILE(24), ENOSPC(28), EADDRNOTAVAIL(99), ENETUNREACH(101), ECONNABORTED(103),
        ENOBUFS(105), ETIMEDOUT(110),
        /** No error: only a part of the bytes is read or written. */
        SHORT_COUNT(-1);

        private final int number;

        SystemError(int number) {
            this.number = number;
        }
    }

    /** What can fail, in the order of the library's table; file operations fail only in the given folder. */
    enum Operation {
        SOCKET, CONNECT, ACCEPT, SOCKET_READ, SOCKET_WRITE, FILE_OPEN, FILE_READ, FILE_WRITE, FILE_TRUNCATE, FILE_RENAME, FILE_CLOSE
    }

    private final Path library;
    private final Path controlFile;
    private final MappedByteBuffer control;

    private SystemFaultShim(Path library, Path controlFile, MappedByteBuffer control) {
        this.library = library;
        this.controlFile = controlFile;
        this.control = control;
    }

    /** Builds the library in a folder; file operations of the process fail only below stateFolder. */
    static SystemFaultShim build(Path folder, Path stateFolder) throws IOException, InterruptedException {
        String compiler = List.of("cc", "gcc", "clang").stream().filter(SystemFaultShim::isOnPath).findFirst().orElse(null);
        assumeTrue(compiler != null, "skipped: no C compiler (cc, gcc or clang) is there to build the fault shim");
        Path library = folder.resolve("fault_shim.so");
        Process build = new ProcessBuilder(compiler, "-O1", "-fPIC", "-shared", "-o", library.toString(), "src/test/c/fault_shim.c",
                "-ldl").redirectErrorStream(true).start();
        String output = new String(build.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, build.waitFor(), output);
        Path controlFile = Files.write(folder.resolve("fault_shim.control"), new byte[CONTROL_BYTES]);
        try (FileChannel channel = FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            MappedByteBuffer control = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
            control.order(ByteOrder.nativeOrder());
            byte[] folderBytes = Arrays.copyOf(stateFolder.toString().getBytes(StandardCharsets.UTF_8), FOLDER_BYTES);
            control.put(Long.BYTES + Operation.values().length * 2 * Long.BYTES, folderBytes);
            return new SystemFaultShim(library, controlFile, control);
        }
    }

    private static boolean isOnPath(String program) {
        return Arrays.stream(System.getenv("PATH").split(File.pathSeparator))
                .anyMatch(folder -> Files.isExecutable(Path.of(folder, program)));
    }

    /** Shell commands before the start of a process that is to load the library. */
    String shellPrefix() {
        return "export LD_PRELOAD='" + library + "' FAULT_SHIM_CONTROL='" + controlFile + "'; ";
    }

    /** Sets how far the wall clock of the process is from that of the system. */
    void setWallClockOffset(long millis) {
        control.putLong(0, millis * 1_000_000);
    }

    /** From now on so many of a thousand calls end with the error. */
    void fail(Operation operation, SystemError error, int perMille) {
        int position = Long.BYTES + operation.ordinal() * 2 * Long.BYTES;
        control.putLong(position, error.number);
        control.putLong(position + Long.BYTES, perMille);
    }

    /** From now on each call ends with the error. */
    void fail(Operation operation, SystemError error) {
        fail(operation, error, 1000);
    }

    void restore(Operation operation) {
        fail(operation, SystemError.EIO, 0);
    }

    void restoreAll() {
        Arrays.stream(Operation.values()).forEach(this::restore);
    }
}
