package org.knapweedcleat.core.listener;

/**
 * What a connection holds at a moment.
 *
 * @param heldBytes the heap that its requests and responses occupy
 * @param movedBytes the bytes that the client sent or read since the last report
 * @param waitsForClient whether a request is incomplete or a response unread
 * @param inHead whether the incomplete part is a head
 * @param headerLines the header lines of the current request so far
 */
public record ConnectionUsage(
    long heldBytes, long movedBytes, boolean waitsForClient, boolean inHead, int headerLines) {}
