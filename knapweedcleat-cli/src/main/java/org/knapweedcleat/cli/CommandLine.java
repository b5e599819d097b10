package org.knapweedcleat.cli;

import io.vavr.collection.List;
import io.vavr.control.Option;
import java.io.StringWriter;
import org.knapweedcleat.core.config.NameSuggester;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/** Parses the arguments and runs the command that they name. */
final class CommandLine {

  private static final int HELP_WIDTH_COLUMNS = 100;
  private static final String HELP = "--help";

  private final Console console;

  private CommandLine(Console console) {
    this.console = console;
  }

  static CommandLine of(Console console) {
    return new CommandLine(console);
  }

  ExitCode run(java.util.List<String> args) {
    if (args.isEmpty()) {
      console.err().println(overview());
      return ExitCode.FAILED;
    }
    String word = args.get(0);
    if (word.equals(HELP) || word.equals("-h") || word.equals("help")) {
      console.line(overview());
      return ExitCode.OK;
    }
    Option<CommandKind> kind = CommandKind.find(word);
    if (kind.isEmpty()) {
      console.error(unknownCommand(word));
      return ExitCode.FAILED;
    }
    return run(kind.get(), args.subList(1, args.size()));
  }

  private ExitCode run(CommandKind kind, java.util.List<String> args) {
    Command command = kind.create();
    CmdLineParser parser =
        new CmdLineParser(
            command,
            ParserProperties.defaults().withUsageWidth(HELP_WIDTH_COLUMNS).withShowDefaults(false));
    try {
      parser.parseArgument(args);
      if (command.isHelpRequested()) {
        console.line(helpPage(kind, parser));
        return ExitCode.OK;
      }
      return command.run(console);
    } catch (CmdLineException e) {
      console.error(e.getMessage());
      console
          .err()
          .println(usage(kind) + "\nfor more, run: knapweedcleat " + kind.word() + " --help");
    } catch (CliException e) {
      console.error(e.getMessage());
    }
    return ExitCode.FAILED;
  }

  private static String unknownCommand(String word) {
    List<String> words = List.of(CommandKind.values()).map(CommandKind::word);
    return "there is no command \""
        + word
        + "\"; "
        + NameSuggester.hint(word, words)
        + "the commands are "
        + words.mkString(", ");
  }

  private static String overview() {
    return List.of(CommandKind.values())
        .map(kind -> String.format("  %-8s %s", kind.word(), kind.summary()))
        .prepend("usage: knapweedcleat COMMAND ...\n")
        .append("\nfor options and an example, run: knapweedcleat COMMAND --help")
        .append("exit codes: 0 nothing wrong, 1 something wrong was found, 2 could not run")
        .mkString("\n");
  }

  private static String usage(CommandKind kind) {
    return "usage: knapweedcleat " + kind.word() + " " + kind.arguments() + " [options]";
  }

  private static String helpPage(CommandKind kind, CmdLineParser parser) {
    StringWriter options = new StringWriter();
    parser.printUsage(options, null);
    return List.of(
            usage(kind),
            kind.summary(),
            "",
            options.toString().stripTrailing(),
            "",
            "example:",
            "  " + kind.example(),
            "",
            "exit codes:",
            "  0  nothing is wrong",
            "  1  " + kind.foundDescription(),
            "  2  the command was not understood or could not run")
        .mkString("\n");
  }
}
