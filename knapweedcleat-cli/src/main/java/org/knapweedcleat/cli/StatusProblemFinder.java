package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vertx.core.json.JsonObject;

/** Finds what is wrong with the answers of instances, alone and together. */
final class StatusProblemFinder {

  private static final long OLD_MILLIS = 60_000;

  private StatusProblemFinder() {}

  static List<String> find(List<StatusCommand.StatusResponse> answers) {
    return answers.flatMap(StatusProblemFinder::single).appendAll(revisions(answers));
  }

  private static List<String> single(StatusCommand.StatusResponse answer) {
    if (answer.status().isLeft()) {
      return List.of(answer.status().getLeft().getMessage());
    }
    JsonObject status = answer.status().get();
    String subject = answer.address() + " (" + status.getString("instance") + ") ";
    String state = status.getString("state", "");
    long age = status.getLong("documentAgeMillis", 0L);
    long violations = status.getLong("invariantViolations", 0L);
    return List.of(
            state.equals("READY") ? "" : subject + "takes no requests: it is " + state,
            age <= OLD_MILLIS
                ? ""
                : subject
                    + "has not had its document confirmed for "
                    + age / 1_000
                    + " s: is the platform down, or the failure domain cut off?",
            violations == 0
                ? ""
                : subject + "counted " + violations + " violations of invariants; see its metrics")
        .reject(String::isEmpty);
  }

  private static List<String> revisions(List<StatusCommand.StatusResponse> answers) {
    List<StatusCommand.StatusResponse> spoken = answers.filter(answer -> answer.status().isRight());
    List<String> groups =
        spoken
            .groupBy(answer -> answer.status().get().getLong("revision", 0L))
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
