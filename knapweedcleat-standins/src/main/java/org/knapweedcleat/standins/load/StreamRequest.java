package org.knapweedcleat.standins.load;

import java.util.Optional;

/**
 * A request to a split service.
 *
 * @param path the route's path
 * @param key the caller's API key
 * @param prompt the prompt
 * @param maxTokens the length of the output in tokens
 * @param continuation the continuation token of an interrupted response; empty for a new request
 * @param nextPosition the first token position not yet received
 */
public record StreamRequest(
    String path,
    String key,
    String prompt,
    int maxTokens,
    Optional<String> continuation,
    int nextPosition) {

  /**
   * Creates a new request.
   *
   * @param path the route's path
   * @param key the caller's API key
   * @param prompt the prompt
   * @param maxTokens the length of the output in tokens
   * @return the request
   */
  public static StreamRequest of(String path, String key, String prompt, int maxTokens) {
    return new StreamRequest(path, key, prompt, maxTokens, Optional.empty(), 0);
  }

  /**
   * Returns a request that resumes an interrupted response.
   *
   * @param interrupted the part received
   * @return the request
   */
  public StreamRequest continuationOf(StreamedResponse interrupted) {
    return new StreamRequest(
        path,
        key,
        prompt,
        maxTokens,
        Optional.of(interrupted.head().continuation()),
        interrupted.nextPosition());
  }
}
