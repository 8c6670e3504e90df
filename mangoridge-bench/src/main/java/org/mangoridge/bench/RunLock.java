package org.mangoridge.bench;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Optional;

/** Keeps two measured runs on one machine from overlapping; released when the process ends. */
public final class RunLock implements AutoCloseable {

    private static final String FILE = "mangoridge-bench.lock";

    private final FileChannel channel;

    private RunLock(FileChannel channel) {
        this.channel = channel;
    }

    /** Takes the lock; empty if another run holds it. */
    public static Optional<RunLock> tryTake() throws IOException {
        return tryTake(Path.of(System.getProperty("java.io.tmpdir"), FILE));
    }

    static Optional<RunLock> tryTake(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException e) {
            lock = null;
        }
        if (lock == null) {
            channel.close();
            return Optional.empty();
        }
        return Optional.of(new RunLock(channel));
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
