package terndyke.node;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * Repeats steps that fail, for a limited time in all: the state folder may fail for a while, and the system may have no descriptor or memory.
 * A node that ended instead would be late with all that its previous run owes.
 */
final class TransientErrorRetry {
    private static final long RETRY_MILLIS = 100;

    private final Consumer<String> log;
    private final long deadlineNanos;

    /** A step that may fail with an error that does not last. */
    @FunctionalInterface
    interface Step<T> {
        T run() throws IOException;
    }

    /** Begins the time in which steps are repeated; the log is told of each step that fails, once. */
    TransientErrorRetry(Consumer<String> log, long maxMicros) {
        this.log = log;
        deadlineNanos = System.nanoTime() + TimeUnit.MICROSECONDS.toNanos(maxMicros);
    }

    /** Runs the step until it succeeds; throws its last error once that is permanent or the time is over. */
    <T> T run(String failure, Step<T> step) throws IOException {
        boolean logged = false;
        while (true) {
            try {
                return step.run();
            } catch (IOException e) {
                if (isPermanent(e) || System.nanoTime() >= deadlineNanos) {
                    throw new IOException(failure + ": " + e.getMessage(), e);
                }
                if (!logged) {
                    log.accept(failure + ", trying again: " + e);
                    logged = true;
                }
                pause();
            }
        }
    }

    /** True if the error shows that the configuration names something unusable. */
    private static boolean isPermanent(IOException error) {
        return error instanceof BindException || error instanceof AccessDeniedException || error instanceof FileAlreadyExistsException
                || error instanceof NoSuchFileException || error instanceof NotDirectoryException;
    }

    private static void pause() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting to try again", e);
        }
    }
}
