package org.mangoridge.objects;

/**
 * A failed read or watch of the store.
 *
 * @param detail the cause, for logs and error messages
 */
public record StoreFailure(String detail) {}
