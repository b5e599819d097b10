package org.knapweedcleat.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Runs commands and captures the output of the last one. */
final class RecordingConsole {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private RecordingConsole() {}

  static RecordingConsole create() {
    return new RecordingConsole();
  }

  ExitCode run(String... args) {
    out.reset();
    err.reset();
    Console console = new Console(new PrintStream(out, true), new PrintStream(err, true));
    return CommandLine.of(console).run(List.of(args));
  }

  String out() {
    return out.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return err.toString(StandardCharsets.UTF_8);
  }
}
