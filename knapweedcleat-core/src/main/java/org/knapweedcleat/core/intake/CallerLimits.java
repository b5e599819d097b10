package org.knapweedcleat.core.intake;

import org.knapweedcleat.core.directory.RequestLimits;

/**
 * An instance's own limits on the connections of callers. A limit of 0 is derived from the
 * published request limits or from the process, so that no request inside the published limits
 * reaches it.
 *
 * @param memoryBytes the memory held for callers; 0: a part of the heap
 * @param maxConnections the number of open connections; 0: as descriptors and memory allow
 * @param maxPartialRequests the number of connections with a partly received request; 0: all
 * @param maxHeaderLines the number of lines of a head; 0: as many as its maximum length allows
 * @param maxChunks the number of chunks of a body; 0: as many as its maximum length allows
 * @param maxChunkOverheadBytes the bytes of a chunked body besides its content, which include the
 *     chunks' extensions; 0: what a body of one-byte chunks needs, and 1 MB
 * @param maxTrailerLines the number of trailer lines behind a body; 0: as for a head
 * @param minBodyBytes the bytes of a body that a caller sends at least in each idle timeout
 * @param maxDiscardedBytes the bytes that are read and discarded after a refused request
 */
public record CallerLimits(
    long memoryBytes,
    int maxConnections,
    int maxPartialRequests,
    int maxHeaderLines,
    int maxChunks,
    int maxChunkOverheadBytes,
    int maxTrailerLines,
    int minBodyBytes,
    int maxDiscardedBytes) {

  /** The limits of an instance whose settings name none. */
  public static final CallerLimits DEFAULT = new CallerLimits(0, 0, 0, 0, 0, 0, 0, 64, 8_388_608);

  /** The shortest valid header line is a one-letter name with its colon. */
  private static final int SHORTEST_LINE_BYTES = 2;

  /** A one-byte chunk has a digit and two line ends besides its content. */
  private static final int ONE_BYTE_CHUNK_OVERHEAD = 5;

  private static final int EXTENSION_ALLOWANCE_BYTES = 1_048_576;

  /**
   * The rest of the heap is for the directory, calls in progress and the garbage of both. In the
   * process with the deployed heap of 110 MB, about 20 MB were live without load.
   */
  private static final double HEAP_PART = 0.45;

  /** The part of the budget that connections without a request may take. */
  private static final double CONNECTIONS_PART = 0.25;

  /** The rest of the descriptors is for endpoints, other instances and the store. */
  private static final double DESCRIPTOR_PART = 0.6;

  /**
   * Returns the memory budget.
   *
   * @param heapBytes the maximum size of the process's heap
   * @return the budget in bytes
   */
  public long memoryBytes(long heapBytes) {
    return memoryBytes > 0 ? memoryBytes : (long) (HEAP_PART * heapBytes);
  }

  /**
   * Returns the number of connections that may be open.
   *
   * @param descriptors the number of descriptors that the process may open
   * @param budgetBytes the memory budget
   * @return the number
   */
  public int connections(long descriptors, long budgetBytes) {
    double byMemory = CONNECTIONS_PART * budgetBytes / HeapCost.CONNECTION_BYTES;
    return maxConnections > 0
        ? maxConnections
        : (int) Math.max(1, Math.min(byMemory, DESCRIPTOR_PART * descriptors));
  }

  /**
   * Returns the number of lines that a head may have.
   *
   * @param published the published limits in force
   * @return the number
   */
  public int headerLines(RequestLimits published) {
    return maxHeaderLines > 0 ? maxHeaderLines : published.maxHeaderBytes() / SHORTEST_LINE_BYTES;
  }

  /**
   * Returns the number of lines that a trailer may have.
   *
   * @param published the published limits in force
   * @return the number
   */
  public int trailerLines(RequestLimits published) {
    return maxTrailerLines > 0 ? maxTrailerLines : published.maxHeaderBytes() / SHORTEST_LINE_BYTES;
  }

  /**
   * Returns the number of chunks that a body may have.
   *
   * @param published the published limits in force
   * @return the number
   */
  public long chunks(RequestLimits published) {
    return maxChunks > 0 ? maxChunks : published.maxBodyBytes();
  }

  /**
   * Returns the number of bytes that a chunked body may have besides its content.
   *
   * @param published the published limits in force
   * @return the number
   */
  public long chunkOverheadBytes(RequestLimits published) {
    return maxChunkOverheadBytes > 0
        ? maxChunkOverheadBytes
        : (long) ONE_BYTE_CHUNK_OVERHEAD * published.maxBodyBytes() + EXTENSION_ALLOWANCE_BYTES;
  }
}
