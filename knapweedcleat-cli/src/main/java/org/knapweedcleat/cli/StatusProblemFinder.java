package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vertx.core.json.JsonObject;

/** Finds problems in single status responses and differences between them. */
final class StatusProblemFinder {

  private static final long MAX_DOCUMENT_AGE_MILLIS = 60_000;

  private StatusProblemFinder() {}

  static List<String> find(List<StatusCommand.StatusResponse> responses) {
    return responses
        .flatMap(StatusProblemFinder::instanceProblems)
        .appendAll(revisionMismatch(responses));
  }

  private static List<String> instanceProblems(StatusCommand.StatusResponse response) {
    if (response.status().isLeft()) {
      return List.of(response.status().getLeft().getMessage());
    }
    JsonObject status = response.status().get();
    String subject = response.address() + " (" + status.getString("instance") + ") ";
    String state = status.getString("state", "");
    long age = status.getLong("documentAgeMillis", 0L);
    long violations = status.getLong("invariantViolations", 0L);
    return List.of(
            state.equals("READY") ? "" : subject + "takes no requests: it is " + state,
            age <= MAX_DOCUMENT_AGE_MILLIS
                ? ""
                : subject
                    + "has not had its document confirmed for "
                    + age / 1_000
                    + " s: is the platform down, or the failure domain isolated?",
            violations == 0
                ? ""
                : subject + "counted " + violations + " invariant violations; see its metrics")
        .reject(String::isEmpty);
  }

  private static List<String> revisionMismatch(List<StatusCommand.StatusResponse> responses) {
    List<StatusCommand.StatusResponse> successful =
        responses.filter(response -> response.status().isRight());
    List<String> groups =
        successful
            .groupBy(response -> response.status().get().getLong("revision", 0L))
            .toList()
            .sortBy(group -> group._1)
            .map(
                group ->
                    "revision "
                        + group._1
                        + " at "
                        + group._2.map(StatusCommand.StatusResponse::address).mkString(", "));
    return groups.size() < 2 ? List.empty() : List.of("instances differ: " + groups.mkString("; "));
  }
}
