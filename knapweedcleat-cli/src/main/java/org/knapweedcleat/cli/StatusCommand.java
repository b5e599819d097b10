package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Either;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the status of instances and the problems found. */
final class StatusCommand extends Command {

  private static final String ROW_FORMAT = "%-21s %-16s %-16s %-9s %8s %-8s %9s %7s %8s %10s";

  @Argument(
      required = true,
      metaVar = "HOST:PORT",
      usage = "the operator ports of the instances, ideally of all instances")
  private java.util.List<String> addresses = new ArrayList<>();

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    List<OperatorAddress> instances = List.empty();
    for (String address : addresses) {
      instances = instances.append(OperatorAddress.parse(address));
    }
    List<StatusResponse> responses;
    try (OperatorClient client = OperatorClient.create()) {
      responses = instances.map(instance -> query(client, instance));
    }
    List<String> problems = StatusProblemFinder.find(responses);
    if (json) {
      console.json(json(responses, problems));
    } else {
      print(console, responses, problems);
    }
    boolean allFailed = responses.forAll(response -> response.status().isLeft());
    return allFailed ? ExitCode.FAILED : ExitCode.foundIf(problems.nonEmpty());
  }

  private static StatusResponse query(OperatorClient client, OperatorAddress instance) {
    try {
      return new StatusResponse(instance, Either.right(client.status(instance)));
    } catch (CliException e) {
      return new StatusResponse(instance, Either.left(e));
    }
  }

  private static void print(
      Console console, List<StatusResponse> responses, List<String> problems) {
    console.line(
        String.format(
            ROW_FORMAT,
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
    responses
        .flatMap(
            response -> response.status().toOption().map(status -> row(response.address(), status)))
        .forEach(console::line);
    console.line(problems.isEmpty() ? "nothing is wrong" : "wrong:");
    problems.forEach(problem -> console.line("  " + problem));
  }

  private static String row(OperatorAddress address, JsonObject status) {
    String digest = status.getString("digest", "");
    return String.format(
        ROW_FORMAT,
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

  private static JsonObject json(List<StatusResponse> responses, List<String> problems) {
    JsonArray instances = new JsonArray();
    responses.forEach(
        response ->
            instances.add(
                new JsonObject()
                    .put("address", response.address().toString())
                    .put("status", response.status().getOrNull())
                    .put(
                        "fault", response.status().swap().map(e -> e.fault().name()).getOrNull())));
    return new JsonObject()
        .put("instances", instances)
        .put("problems", new JsonArray(problems.asJava()));
  }

  /**
   * The response of one instance.
   *
   * @param address the operator address of the instance
   * @param status the status, or the error if the request failed
   */
  record StatusResponse(OperatorAddress address, Either<CliException, JsonObject> status) {}
}
