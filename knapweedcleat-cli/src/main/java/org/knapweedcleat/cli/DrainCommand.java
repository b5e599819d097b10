package org.knapweedcleat.cli;

import io.vertx.core.json.JsonObject;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Starts a planned stop of an instance and optionally waits until it has stopped. */
final class DrainCommand extends Command {

  private static final long POLL_MILLIS = 500;
  private static final long SECOND_MILLIS = 1_000;
  private static final String STOPPED = "stopped";

  @Argument(required = true, metaVar = "HOST:PORT", usage = "the operator port of the instance")
  private String address;

  @Option(name = "--wait", usage = "wait until the instance has stopped")
  private boolean wait;

  @Option(
      name = "--timeout-seconds",
      metaVar = "S",
      usage = "how long to wait, default 600; the stop continues after that")
  private int timeoutSeconds = 600;

  @Override
  ExitCode run(Console console) throws CliException {
    OperatorAddress instance = OperatorAddress.parse(address);
    try (OperatorClient client = OperatorClient.create()) {
      String incarnation = client.status(instance).getString("incarnation", "");
      client.drain(instance);
      console.line(instance + ": planned stop started; finishing running requests");
      return wait ? await(console, client, instance, incarnation) : ExitCode.OK;
    }
  }

  private ExitCode await(
      Console console, OperatorClient client, OperatorAddress instance, String incarnation)
      throws CliException {
    long polls = timeoutSeconds * SECOND_MILLIS / POLL_MILLIS;
    String lastShown = "";
    for (long poll = 0; poll < polls; poll++) {
      String progress = progress(client, instance, incarnation);
      if (!progress.equals(lastShown)) {
        console.line(instance + ": " + progress);
        lastShown = progress;
      }
      if (progress.equals(STOPPED)) {
        return ExitCode.OK;
      }
      sleepUntilNextPoll();
    }
    console.line(instance + ": still running after " + timeoutSeconds + " seconds");
    return ExitCode.FOUND;
  }

  private static String progress(
      OperatorClient client, OperatorAddress instance, String incarnation) throws CliException {
    try {
      JsonObject status = client.status(instance);
      return status.getString("incarnation", "").equals(incarnation)
          ? status.getLong("inFlight", 0L) + " requests still run"
          : STOPPED;
    } catch (CliException e) {
      return switch (e.fault()) {
        case NOT_LISTENING -> STOPPED;
        case NO_ANSWER -> "no answer at the moment";
        default -> throw e;
      };
    }
  }

  private static void sleepUntilNextPoll() {
    try {
      Thread.sleep(POLL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
