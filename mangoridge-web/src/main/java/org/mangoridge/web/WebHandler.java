package org.mangoridge.web;

/** Answers requests; called on a virtual thread of its own for each, may block. */
@FunctionalInterface
public interface WebHandler {

    /** Returns the answer to {@code request}. */
    WebReply handle(WebRequest request);
}
