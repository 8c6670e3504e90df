package org.mangoridge.core;

import java.util.function.Function;

/**
 * The outcome of an operation that may fail in an expected way.
 *
 * @param <T> the type of the value of a success
 * @param <E> the type of the error of a failure
 */
public sealed interface Result<T, E> {

    /**
     * Success.
     *
     * @param value the result of the operation
     */
    record Ok<T, E>(T value) implements Result<T, E> {}

    /**
     * Failure.
     *
     * @param error why the operation failed
     */
    record Err<T, E>(E error) implements Result<T, E> {}

    /** Returns a success that holds {@code value}. */
    static <T, E> Result<T, E> ok(T value) {
        return new Ok<>(value);
    }

    /** Returns a failure that holds {@code error}. */
    static <T, E> Result<T, E> err(E error) {
        return new Err<>(error);
    }

    /** Tells whether this is a success. */
    default boolean isOk() {
        return this instanceof Ok;
    }

    /** Applies {@code function} to the value of a success; returns a failure unchanged. */
    default <U> Result<U, E> map(Function<? super T, ? extends U> function) {
        return switch (this) {
            case Ok<T, E> ok -> ok(function.apply(ok.value()));
            case Err<T, E> err -> err(err.error());
        };
    }

    /** Returns the result of {@code function} on the value of a success; returns a failure unchanged. */
    default <U> Result<U, E> flatMap(Function<? super T, Result<U, E>> function) {
        return switch (this) {
            case Ok<T, E> ok -> function.apply(ok.value());
            case Err<T, E> err -> err(err.error());
        };
    }

    /**
     * Returns the value of a success.
     *
     * @throws IllegalStateException if this is a failure
     */
    default T value() {
        return switch (this) {
            case Ok<T, E> ok -> ok.value();
            case Err<T, E> err -> throw new IllegalStateException("result is a failure: " + err.error());
        };
    }

    /**
     * Returns the error of a failure.
     *
     * @throws IllegalStateException if this is a success
     */
    default E error() {
        return switch (this) {
            case Ok<T, E> ok -> throw new IllegalStateException("result is a success: " + ok.value());
            case Err<T, E> err -> err.error();
        };
    }
}
