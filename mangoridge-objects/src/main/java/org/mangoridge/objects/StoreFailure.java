package org.mangoridge.objects;

/**
 * A read that the platform did not answer.
 *
 * @param detail why
 */
public record StoreFailure(String detail) {}
