package org.knapweedcleat.core.room;

/**
 * Where a call stands in an {@link AdmissionQueue}.
 *
 * @param callsAhead the number of calls that are placed before it
 * @param expectedWaitMillis the expected time until it is placed
 */
public record QueuePosition(int callsAhead, long expectedWaitMillis) {}
