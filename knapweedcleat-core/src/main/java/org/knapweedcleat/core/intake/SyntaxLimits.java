package org.knapweedcleat.core.intake;

import org.knapweedcleat.core.directory.RequestLimits;

/**
 * Limits on the form of one request.
 *
 * @param maxHeaderBytes the length of a head, and of each of its lines
 * @param maxHeaderLines the number of lines of a head
 * @param maxTrailerLines the number of trailer lines
 * @param maxChunks the number of chunks of a body
 * @param maxChunkOverheadBytes the bytes of a chunked body besides its content
 */
public record SyntaxLimits(
    int maxHeaderBytes,
    int maxHeaderLines,
    int maxTrailerLines,
    long maxChunks,
    long maxChunkOverheadBytes) {

  /**
   * Returns the limits in force.
   *
   * @param own the instance's own limits
   * @param published the published limits
   * @return the limits
   */
  public static SyntaxLimits of(CallerLimits own, RequestLimits published) {
    return new SyntaxLimits(
        published.maxHeaderBytes(),
        own.headerLines(published),
        own.trailerLines(published),
        own.chunks(published),
        own.chunkOverheadBytes(published));
  }
}
