package org.knapweedcleat.cli;

import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Begins a planned stop and, if asked, waits for its end. */
final class DrainCommand extends Command {

  private static final long POLL_MILLIS = 500;
  private static final long SECOND_MILLIS = 1_000;
  private static final String STOPPED = "stopped";

  @Argument(required = true, metaVar = "HOST:PORT", usage = "the instance's operators' port")
  private String address;

  @Option(name = "--wait", usage = "waits until the instance has stopped")
  private boolean wait;

  @Option(
      name = "--timeout-seconds",
      metaVar = "S",
      usage = "how long to wait, 600 if left out; the stop goes on after it")
  private int timeoutSeconds = 600;

  @Override
  ExitCode run(Console console) throws CliException {
    OperatorAddress instance = OperatorAddress.parse(address);
    try (OperatorClient client = OperatorClient.create()) {
      String incarnation = client.status(instance).getString("incarnation", "");
      client.drain(instance);
      console.line(instance + ": the planned stop has begun; running requests are finished");
      return wait ? await(console, client, instance, incarnation) : ExitCode.OK;
    }
  }

  private ExitCode await(
      Console console, OperatorClient client, OperatorAddress instance, String incarnation)
      throws CliException {
    long rounds = timeoutSeconds * SECOND_MILLIS / POLL_MILLIS;
    String lastShown = "";
    for (long round = 0; round < rounds; round++) {
      String progress = progress(client, instance, incarnation);
      if (!progress.equals(lastShown)) {
        console.line(instance + ": " + progress);
        lastShown = progress;
      }
      if (progress.equals(STOPPED)) {
        return ExitCode.OK;
      }
      pause();
    }
    console.line(instance + ": still running after " + timeoutSeconds + " seconds");
    return ExitCode.FOUND;
  }

  private static String progress(OperatorClient client, OperatorAddress instance, String incarnation)
      throws CliException {
    try {
      JsonObject status = client.status(instance);
      return status.getString("incarnation", "").equals(incarnation)
          ? status.getLong("inFlight", 0L) + " requests still run"
          : STOPPED;
    } catch (CliException e) {
      return switch (e.fault()) {
        case NOT_LISTENING -> STOPPED;
        case NO_ANSWER -> "no answer for now";
        default -> throw e;
      };
    }
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
