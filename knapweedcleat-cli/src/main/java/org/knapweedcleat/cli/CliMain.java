package org.knapweedcleat.cli;

import java.util.List;

/** Entry point of the operator command line. */
public final class CliMain {

  private CliMain() {}

  /**
   * Runs a command and exits the process with its exit code.
   *
   * @param args the command and its arguments
   */
  public static void main(String[] args) {
    Console console = new Console(System.out, System.err);
    ExitCode code = CommandLine.of(console).run(List.of(args));
    System.out.flush();
    System.exit(code.number());
  }
}
