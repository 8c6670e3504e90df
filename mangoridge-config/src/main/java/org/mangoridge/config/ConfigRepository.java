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
 * Stores the configuration in the platform's object store: one head object that refers to the pieces of the text.
 *
 * <p>Calls block. Safe for use by several threads.
 */
public final class ConfigRepository {

    /** The path of the head object; as a watch prefix it matches the head only. */
    public static final String HEAD_PATH = "config/head";

    private static final ObjectKey HEAD_KEY = ObjectKey.of(HEAD_PATH);
    private static final int MAX_WRITE_ATTEMPTS = 3;

    /**
     * The head object as read from the store.
     *
     * @param version the version of the object, 0 if it does not exist
     * @param manifest the manifest of the configuration in force
     * @param hash the hash of the manifest
     */
    public record Head(long version, Manifest manifest, String hash) {}

    /** The stored form of the head object. */
    private record HeadMessage(String hash, Manifest manifest) {}

    private final ObjectStore store;

    private ConfigRepository(ObjectStore store) {
        this.store = store;
    }

    /** Returns a repository that is backed by {@code store}. */
    public static ConfigRepository create(ObjectStore store) {
        return new ConfigRepository(store);
    }

    /** Reads the head; returns one of generation 0 and version 0 if it does not exist. */
    public Result<Head, StoreFailure> readHead() {
        return readHeadObject().flatMap(ConfigRepository::decodeHead);
    }

    /** Reads the head object without decoding it. */
    public Result<Optional<StoredObject>, StoreFailure> readHeadObject() {
        return store.read(HEAD_KEY);
    }

    /** Decodes a head object and verifies its hash; the error states why it is not valid. */
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

    /** Writes the head if its current version is {@code version}; 0 means that it must not exist. */
    public WriteOutcome writeHead(Manifest manifest, long version) {
        Precondition condition = version == 0 ? Precondition.absent() : Precondition.atVersion(version);
        return store.write(HEAD_KEY, Json.bytes(new HeadMessage(manifest.hash(), manifest)), condition);
    }

    /** Loads and verifies the configuration that {@code head} refers to; pieces in {@code known} are not read again. */
    public Result<PublishedConfig, StoreFailure> load(Head head, PublishedConfig known) {
        return readContents(head, known).flatMap(contents -> {
            Result<PublishedConfig, String> verified = PublishedConfig.verify(head.manifest(), head.hash(), contents);
            return verified.isOk() ? Result.ok(verified.value()) : Result.err(new StoreFailure(verified.error()));
        });
    }

    /** Returns the contents by hash, not verified: those of {@code known} and of the other pieces of {@code head}. */
    public Result<Map<String, String>, StoreFailure> readContents(Head head, PublishedConfig known) {
        Map<String, String> contents = new HashMap<>(known.contents());
        for (Piece piece : head.manifest().pieces()) {
            if (!contents.containsKey(piece.hash())) {
                Result<Optional<StoredObject>, StoreFailure> read = store.read(pieceKey(piece));
                if (!read.isOk()) {
                    return Result.err(read.error());
                }
                if (read.value().isEmpty()) {
                    return Result.err(new StoreFailure("a piece of the configuration is not in the store"));
                }
                contents.put(piece.hash(), utf8Text(read.value().get()));
            }
        }
        return Result.ok(contents);
    }

    /** Writes a piece. An existing piece of that key has the same content, because the key contains its hash. */
    public Result<Piece, StoreFailure> writePiece(Piece piece, String content) {
        String detail = "";
        for (int i = 0; i < MAX_WRITE_ATTEMPTS; i++) {
            switch (store.write(pieceKey(piece), content.getBytes(StandardCharsets.UTF_8), Precondition.absent())) {
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

    /** Deletes a piece that no head refers to; a failed deletion only leaves an unused object behind. */
    public void deletePiece(Piece piece) {
        Result<Optional<StoredObject>, StoreFailure> read = store.read(pieceKey(piece));
        if (read.isOk() && read.value().isPresent()) {
            store.delete(pieceKey(piece), read.value().get().version());
        }
    }

    /**
     * Writes {@code config} back if the store holds an older one, for example after it was restored from a backup.
     *
     * @return whether the store now holds {@code config} or a newer configuration
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

    private static ObjectKey pieceKey(Piece piece) {
        return ObjectKey.of("config/piece/" + piece.owner() + "/" + piece.hash());
    }

    private static String utf8Text(StoredObject object) {
        return new String(object.value(), StandardCharsets.UTF_8);
    }
}
