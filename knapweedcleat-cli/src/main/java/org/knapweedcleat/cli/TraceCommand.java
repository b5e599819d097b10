package org.knapweedcleat.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints the log lines of a request from several instances in order of time. */
final class TraceCommand extends Command {

  /** Events of an instance this long before one of its decisions are printed with it. */
  private static final long CONTEXT_WINDOW_MILLIS = 5_000;

  @Argument(required = true, metaVar = "ID", usage = "the id of the request")
  private String requestId;

  @Argument(index = 1, metaVar = "FILE", usage = "logs of instances; - for standard input")
  private List<String> files = new ArrayList<>();

  @Option(name = "--json", usage = "print JSON, one event per line")
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
        .filter(line -> line.isAbout(requestId) || isContextOf(line, decisions))
        .sorted(Comparator.comparingLong(LogLine::atMillis))
        .forEach(line -> console.line(json ? line.json().encode() : line.text()));
    return ExitCode.foundIf(decisions.isEmpty());
  }

  private static boolean isContextOf(LogLine line, List<LogLine> decisions) {
    return line.isInstanceEvent()
        && decisions.stream()
            .anyMatch(
                decision ->
                    decision.source().equals(line.source())
                        && line.atMillis() <= decision.atMillis()
                        && decision.atMillis() - line.atMillis() <= CONTEXT_WINDOW_MILLIS);
  }
}
