package org.knapweedcleat.standins.load;

import java.util.Optional;

/**
 * A request to a split service.
 *
 * @param path the route
 * @param key the caller's key
 * @param prompt the prompt
 * @param maxTokens the length of the answer
 * @param continuation what the head of a broken answer carried, empty for a new request
 * @param nextPosition the first position not yet received
 */
public record StreamRequest(
    String path,
    String key,
    String prompt,
    int maxTokens,
    Optional<String> continuation,
    int nextPosition) {

  /**
   * Returns a new request.
   *
   * @param path the route
   * @param key the caller's key
   * @param prompt the prompt
   * @param maxTokens the length of the answer
   * @return the request
   */
  public static StreamRequest of(String path, String key, String prompt, int maxTokens) {
    return new StreamRequest(path, key, prompt, maxTokens, Optional.empty(), 0);
  }

  /**
   * Returns the request that continues a broken answer.
   *
   * @param broken what was received
   * @return the continuation
   */
  public StreamRequest continuationOf(StreamedResponse broken) {
    return new StreamRequest(
        path, key, prompt, maxTokens, Optional.of(broken.head().continuation()), broken.nextPosition());
  }
}
