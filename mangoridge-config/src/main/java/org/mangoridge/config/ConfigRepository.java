package org.mangoridge.config;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.mangoridge.config.content.Piece;
import org.mangoridge.core.Result;
import org.mangoridge.http.Json;
import org.mangoridge.objects.ObjectKey;
import org.mangoridge.objects.ObjectStore;
import org.mangoridge.objects.Precondition;
import org.mangoridge.objects.StoreFailure;
import org.mangoridge.objects.StoredObject;
import org.mangoridge.objects.WriteOutcome;

/**
 * Keeps the configuration in the platform's store: one head object that names the pieces of the text.
 *
 * <p>Calls block. Safe for use by several threads.
 */
public final class ConfigRepository {

    /** The prefix under which a watch sees the head and nothing else. */
    public static final String HEAD_PATH = "config/head";

    private static final ObjectKey HEAD = ObjectKey.of(HEAD_PATH);
    private static final int WRITE_TRIES = 3;

    /**
     * The head as the store holds it.
     *
     * @param version the object's version, 0 if there is none
     * @param manifest what it names
     * @param hash the hash that it states
     */
    public record Head(long version, Manifest manifest, String hash) {}

    /** The value of the head object. */
    private record HeadMessage(String hash, Manifest manifest) {}

    private final ObjectStore store;

    private ConfigRepository(ObjectStore store) {
        this.store = store;
    }

    /** Returns a repository in {@code store}. */
    public static ConfigRepository create(ObjectStore store) {
        return new ConfigRepository(store);
    }

    /** Reads the head; one of generation 0 and version 0 if there is none. */
    public Result<Head, StoreFailure> readHead() {
        return readHeadObject().flatMap(ConfigRepository::decodeHead);
    }

    /** Reads the object that holds the head, without looking into it. */
    public Result<Optional<StoredObject>, StoreFailure> readHeadObject() {
        return store.read(HEAD);
    }

    /** Reads a head from its object; the error says why it does not verify. */
    public static Result<Head, StoreFailure> decodeHead(Optional<StoredObject> object) {
        if (object.isEmpty()) {
            return Result.ok(new Head(0, Manifest.initial(), Manifest.initial().hash()));
        }
        Result<HeadMessage, String> message = Json.read(object.get().value(), HeadMessage.class);
        if (!message.isOk()) {
            return Result.err(new StoreFailure("the head is malformed: " + message.error()));
        }
        Manifest manifest = message.value().manifest();
        if (manifest == null || !manifest.hash().equals(message.value().hash())) {
            return Result.err(new StoreFailure("the hash of the head does not verify"));
        }
        return Result.ok(
                new Head(object.get().version(), manifest, message.value().hash()));
    }

    /** Writes the head if it has {@code version}; 0 if there must be none. */
    public WriteOutcome writeHead(Manifest manifest, long version) {
        Precondition condition = version == 0 ? Precondition.absent() : Precondition.atVersion(version);
        return store.write(HEAD, Json.bytes(new HeadMessage(manifest.hash(), manifest)), condition);
    }

    /** Reads and verifies the configuration that {@code head} names, and only the pieces that {@code known} lacks. */
    public Result<PublishedConfig, StoreFailure> load(Head head, PublishedConfig known) {
        return readContents(head, known).flatMap(contents -> {
            Result<PublishedConfig, String> verified = PublishedConfig.verify(head.manifest(), head.hash(), contents);
            return verified.isOk() ? Result.ok(verified.value()) : Result.err(new StoreFailure(verified.error()));
        });
    }

    /** Reads the contents of the pieces that {@code head} names by their hashes, without verifying them. */
    public Result<Map<String, String>, StoreFailure> readContents(Head head, PublishedConfig known) {
        Map<String, String> contents = new HashMap<>(known.contents());
        for (Piece piece : head.manifest().pieces()) {
            if (!contents.containsKey(piece.hash())) {
                Result<Optional<StoredObject>, StoreFailure> read = store.read(key(piece));
                if (!read.isOk()) {
                    return Result.err(read.error());
                }
                if (read.value().isEmpty()) {
                    return Result.err(new StoreFailure("a piece of the configuration is not in the store"));
                }
                contents.put(piece.hash(), text(read.value().get()));
            }
        }
        return Result.ok(contents);
    }

    /** Writes a piece; one that is there already has the same content, which its name states. */
    public Result<Piece, StoreFailure> writePiece(Piece piece, String content) {
        String detail = "";
        for (int i = 0; i < WRITE_TRIES; i++) {
            switch (store.write(key(piece), content.getBytes(StandardCharsets.UTF_8), Precondition.absent())) {
                case WriteOutcome.Written written -> {
                    return Result.ok(piece);
                }
                case WriteOutcome.Conflict conflict -> {
                    return Result.ok(piece);
                }
                case WriteOutcome.NotWritten notWritten -> detail = notWritten.detail();
                case WriteOutcome.Unknown unknown -> detail = unknown.detail();
            }
        }
        return Result.err(new StoreFailure(detail));
    }

    /** Deletes a piece that no head names any more; one that stays takes room and does no harm. */
    public void deletePiece(Piece piece) {
        Result<Optional<StoredObject>, StoreFailure> read = store.read(key(piece));
        if (read.isOk() && read.value().isPresent()) {
            store.delete(key(piece), read.value().get().version());
        }
    }

    /**
     * Writes {@code config} back if the store holds an older one, as it does after it was restored from a copy.
     *
     * @return whether the store now holds it or a newer one
     */
    public boolean restore(PublishedConfig config) {
        Result<Head, StoreFailure> head = readHead();
        if (!head.isOk()) {
            return false;
        }
        if (head.value().manifest().generation() >= config.manifest().generation()) {
            return true;
        }
        for (Piece piece : config.manifest().pieces()) {
            if (!writePiece(piece, config.contents().get(piece.hash())).isOk()) {
                return false;
            }
        }
        return writeHead(config.manifest(), head.value().version()) instanceof WriteOutcome.Written;
    }

    private static ObjectKey key(Piece piece) {
        return ObjectKey.of("config/piece/" + piece.owner() + "/" + piece.hash());
    }

    private static String text(StoredObject object) {
        return new String(object.value(), StandardCharsets.UTF_8);
    }
}
