package org.knapweedcleat.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Gathers the log lines of one request from several instances. */
final class TraceCommand extends Command {

  /** Beliefs that changed this long before a decision are shown with it. */
  private static final long BELIEF_MILLIS = 5_000;

  @Argument(required = true, metaVar = "ID", usage = "the request's id")
  private String requestId;

  @Argument(index = 1, metaVar = "FILE", usage = "logs of instances; - for standard input")
  private List<String> files = new ArrayList<>();

  @Option(name = "--json", usage = "answers in JSON, one line an event")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    if (files.isEmpty()) {
      throw CliException.of(CliFault.NO_LOG, "there is nothing");
    }
    List<LogLine> lines = new ArrayList<>();
    for (String file : files) {
      lines.addAll(LogFileReader.read(file, console));
    }
    List<LogLine> decisions = lines.stream().filter(line -> line.isAbout(requestId)).toList();
    lines.stream()
        .filter(line -> line.isAbout(requestId) || isBeliefBehind(line, decisions))
        .sorted(Comparator.comparingLong(LogLine::atMillis))
        .forEach(line -> console.line(json ? line.json().encode() : line.text()));
    return ExitCode.foundIf(decisions.isEmpty());
  }

  private static boolean isBeliefBehind(LogLine line, List<LogLine> decisions) {
    return line.isInstanceEvent()
        && decisions.stream()
            .anyMatch(
                decision ->
                    decision.source().equals(line.source())
                        && line.atMillis() <= decision.atMillis()
                        && decision.atMillis() - line.atMillis() <= BELIEF_MILLIS);
  }
}
