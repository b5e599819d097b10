package org.knapweedcleat.cli;

/** Reasons why a command could not run. */
enum CliFault {
  /** A file could not be read or written. */
  FILE("cannot be read or written; check the path"),
  /** A file is not UTF-8 text. */
  NOT_TEXT("is not UTF-8 text"),
  /** No file was given. */
  NO_FILE("to check; give files or --keys"),
  /** No log was given. */
  NO_LOG("to read; give the logs of instances, or - for standard input"),
  /** A document is invalid and cannot be processed. */
  FAULTY_DOCUMENT("has faults and cannot be processed:"),
  /** No adapter has the name. */
  NO_ADAPTER("is no adapter on the class path; start the tool by ./knapweedcleat, or add its jar"),
  /** The configuration to compare with has errors. */
  FAULTY_IN_FORCE("has errors and cannot be compared with; check it without --against"),
  /** An address is malformed. */
  ADDRESS("is not an address; give an IP address and the operator port, such as 127.0.0.1:8081"),
  /** Nothing listens at an address. */
  NOT_LISTENING("refuses connections; is the instance running, and is this its operator port?"),
  /** An instance did not answer in time. */
  NO_ANSWER("did not answer in time; is it paused or unreachable?"),
  /** An answer is not that of an instance. */
  BAD_ANSWER("gave an unexpected answer; is this the operator port of an instance?"),
  /** A name is malformed. */
  NAME("is not a name; use at most 63 letters, digits, dots, hyphens and underscores");

  private final String message;

  CliFault(String advice) {
    this.message = advice;
  }

  String message() {
    return message;
  }
}
