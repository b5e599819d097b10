package org.knapweedcleat.cli;

/** The exit codes of the command line. */
enum ExitCode {
  /** The command ran and found no problem. */
  OK(0),
  /** The command ran and found a problem. */
  FOUND(1),
  /** The arguments were invalid or the command could not run. */
  FAILED(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }

  static ExitCode foundIf(boolean problem) {
    return problem ? FOUND : OK;
  }
}
