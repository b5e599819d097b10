package org.knapweedcleat.cli;

/** Why a command could not run. */
enum CliFault {
  /** A file cannot be read or written. */
  FILE("cannot be read or written; is the path right?"),
  /** A file holds something else than text. */
  NOT_TEXT("is no text in UTF-8"),
  /** No file is named. */
  NO_FILE("to check; name files, or ask for --keys"),
  /** No log is named. */
  NO_LOG("to read; name the logs of instances, or - for standard input"),
  /** A document has faults, so nothing can be said about it. */
  FAULTY_DOCUMENT("has faults, so nothing can be said about it:"),
  /** An address has the wrong form. */
  ADDRESS("is no address; give an IP number and the operators' port, such as 127.0.0.1:8081"),
  /** Nothing listens at an address. */
  NOT_LISTENING("takes no connection; does the instance run, and is it the operators' port?"),
  /** An instance does not answer. */
  NO_ANSWER("does not answer in time; is it paused or cut off?"),
  /** An instance answers something that no instance answers. */
  BAD_ANSWER("does not answer like an instance; is it the operators' port?"),
  /** A name has the wrong form. */
  NAME("is no name; names are letters, digits, dots, hyphens and underscores, at most 63");

  private final String message;

  CliFault(String advice) {
    this.message = advice;
  }

  String message() {
    return message;
  }
}
