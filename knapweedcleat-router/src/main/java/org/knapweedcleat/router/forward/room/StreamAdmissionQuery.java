package org.knapweedcleat.router.forward.room;

import org.knapweedcleat.core.message.PeerMessage;

/**
 * Asks a region's coordinator to place a stream by its rank, and to queue it if no engine has
 * capacity.
 *
 * @param stream what the stream needs
 * @param mayQueue whether the stream may be queued; false if it is queued in another region
 * @param started whether work was done for the stream that is lost if it does not go on soon
 * @param rank its rank; 0 is the most urgent
 * @param account the id of its account; empty if it has none
 * @param targetMillis the time from its arrival until its first event would be late; 0 if it is
 *     late
 * @param maxWaitMillis the longest time that it waits from its arrival
 * @param waitedMillis the time since its arrival
 */
public record StreamAdmissionQuery(
    StreamPlacementQuery stream,
    boolean mayQueue,
    boolean started,
    int rank,
    String account,
    long targetMillis,
    long maxWaitMillis,
    long waitedMillis)
    implements PeerMessage {}
