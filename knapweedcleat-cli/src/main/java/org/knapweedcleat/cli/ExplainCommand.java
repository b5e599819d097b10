package org.knapweedcleat.cli;

import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Prints how a request would be routed, which limits apply and when it is refused. */
final class ExplainCommand extends Command {

  @Argument(required = true, metaVar = "DOCUMENT", usage = "the published document")
  private Path document;

  @Option(name = "--method", required = true, metaVar = "M", usage = "the HTTP method")
  private String method;

  @Option(name = "--path", required = true, metaVar = "P", usage = "the path without the query")
  private String path;

  @Option(
      name = "--account",
      metaVar = "A",
      forbids = "--key-name",
      usage = "the client account of the caller's key")
  private String account;

  @Option(name = "--key-name", metaVar = "K", usage = "the name (not the key) of the caller's key")
  private String keyName;

  @Option(
      name = "--domain",
      metaVar = "D",
      usage = "the failure domain in which the request arrives; default all")
  private String domain;

  @Option(name = "--json", usage = "print JSON")
  private boolean json;

  @Override
  ExitCode run(Console console) throws CliException {
    Explanation explanation =
        RequestExplainer.of(DocumentReader.readDocument(document))
            .explain(new ExplainQuery(method, path, account, keyName, domain));
    if (json) {
      console.json(ExplanationJson.of(explanation));
    } else {
      ExplanationText.lines(explanation).forEach(console::line);
    }
    return ExitCode.foundIf(explanation.refusal().isDefined());
  }
}
