package org.knapweedcleat.cli;

import org.kohsuke.args4j.Option;

/** A command; its options are fields that the parser fills. */
abstract class Command {

  @Option(name = "--help", aliases = "-h", help = true, usage = "shows this page")
  private boolean help;

  boolean asksForHelp() {
    return help;
  }

  /**
   * Runs the command.
   *
   * @param console where to write
   * @return how it ended
   * @throws CliException if it could not run
   */
  abstract ExitCode run(Console console) throws CliException;
}
