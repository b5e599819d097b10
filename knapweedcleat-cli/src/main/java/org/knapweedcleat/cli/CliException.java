package org.knapweedcleat.cli;

import io.vavr.collection.Seq;
import java.nio.file.Path;
import org.knapweedcleat.core.config.ConfigFault;

/** Signals that a command could not run. */
final class CliException extends Exception {

  private final CliFault fault;

  private CliException(CliFault fault, String message, Throwable cause) {
    super(message, cause);
    this.fault = fault;
  }

  static CliException of(CliFault fault, String subject) {
    return of(fault, subject, null);
  }

  static CliException of(CliFault fault, String subject, Throwable cause) {
    return new CliException(fault, subject + " " + fault.message(), cause);
  }

  static CliException faulty(Path document, Seq<ConfigFault> faults) {
    CliFault fault = CliFault.FAULTY_DOCUMENT;
    return new CliException(
        fault, document + " " + fault.message() + "\n" + faults.mkString("\n"), null);
  }

  CliFault fault() {
    return fault;
  }
}
