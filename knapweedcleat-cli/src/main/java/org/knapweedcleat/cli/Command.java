package org.knapweedcleat.cli;

import org.kohsuke.args4j.Option;

/** A command, whose arguments and options the parser writes to annotated fields. */
abstract class Command {

  @Option(name = "--help", aliases = "-h", help = true, usage = "print this help")
  private boolean help;

  boolean isHelpRequested() {
    return help;
  }

  /**
   * Runs the command.
   *
   * @param console the console for output
   * @return the exit code
   * @throws CliException if it could not run
   */
  abstract ExitCode run(Console console) throws CliException;
}
