package org.knapweedcleat.cli;

/** How a command ended. */
enum ExitCode {
  /** Nothing is wrong. */
  OK(0),
  /** The command ran and found something wrong. */
  FOUND(1),
  /** The command was not understood or could not run. */
  FAILED(2);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  int number() {
    return number;
  }

  static ExitCode foundIf(boolean wrong) {
    return wrong ? FOUND : OK;
  }
}
