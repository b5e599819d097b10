package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Asks instances how they are and names what is wrong between them. */
final class StatusCommand extends Command {

  private static final String ROW = "%-21s %-16s %-16s %-9s %8s %-8s %9s %7s %8s %10s";

  @Argument(
      required = true,
      metaVar = "HOST:PORT",
      usage = "the instances' operators' ports, best all of them")
  private java.util.List<String> addresses = new ArrayList<>();

  @Option(name = "--json", usage = "answers in JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    List<OperatorAddress> instances = List.empty();
    for (String address : addresses) {
      instances = instances.append(OperatorAddress.parse(address));
    }
    List<StatusResponse> answers;
    try (OperatorClient client = OperatorClient.create()) {
      answers = instances.map(instance -> ask(client, instance));
    }
    List<String> problems = StatusProblemFinder.find(answers);
    if (json) {
      console.json(json(answers, problems));
    } else {
      print(console, answers, problems);
    }
    boolean silent = answers.forAll(answer -> answer.status().isLeft());
    return silent ? ExitCode.FAILED : ExitCode.foundIf(problems.nonEmpty());
  }

  private static StatusResponse ask(OperatorClient client, OperatorAddress instance) {
    try {
      return new StatusResponse(instance, Either.right(client.status(instance)));
    } catch (CliException e) {
      return new StatusResponse(instance, Either.left(e));
    }
  }

  private static void print(Console console, List<StatusResponse> answers, List<String> problems) {
    console.line(
        String.format(
            ROW,
            "address",
            "instance",
            "domain",
            "state",
            "revision",
            "digest",
            "age s",
            "members",
            "inFlight",
            "violations"));
    answers
        .flatMap(answer -> answer.status().toOption().map(status -> row(answer.address(), status)))
        .forEach(console::line);
    console.line(problems.isEmpty() ? "nothing is wrong" : "wrong:");
    problems.forEach(problem -> console.line("  " + problem));
  }

  private static String row(OperatorAddress address, JsonObject status) {
    String digest = status.getString("digest", "");
    return String.format(
        ROW,
        address,
        status.getString("instance"),
        status.getString("domain"),
        status.getString("state"),
        status.getLong("revision"),
        digest.substring(0, Math.min(8, digest.length())),
        status.getLong("documentAgeMillis", 0L) / 1_000,
        status.getJsonArray("members", new JsonArray()).size(),
        status.getLong("inFlight"),
        status.getLong("invariantViolations"));
  }

  private static JsonObject json(List<StatusResponse> answers, List<String> problems) {
    JsonArray instances = new JsonArray();
    answers.forEach(
        answer ->
            instances.add(
                new JsonObject()
                    .put("address", answer.address().toString())
                    .put("status", answer.status().getOrNull())
                    .put("fault", answer.status().swap().map(e -> e.fault().name()).getOrNull())));
    return new JsonObject()
        .put("instances", instances)
        .put("problems", new JsonArray(problems.asJava()));
  }

  /**
   * What one instance answered.
   *
   * @param address the instance
   * @param status its status, or why there is none
   */
  record StatusResponse(OperatorAddress address, Either<CliException, JsonObject> status) {}
}
