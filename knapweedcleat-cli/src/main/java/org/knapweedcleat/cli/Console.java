package org.knapweedcleat.cli;

import io.vertx.core.json.JsonObject;
import java.io.PrintStream;

/**
 * The output streams of a command.
 *
 * @param out receives results
 * @param err receives errors of the command itself
 */
record Console(PrintStream out, PrintStream err) {

  void line(String text) {
    out.println(text);
  }

  void json(JsonObject answer) {
    out.println(answer.encodePrettily());
  }

  void error(String text) {
    err.println("knapweedcleat: " + text);
  }
}
