package org.knapweedcleat.cli;

import io.vavr.control.Option;

/**
 * The request to explain.
 *
 * @param method the HTTP method
 * @param path the path
 * @param account the client account, if given
 * @param keyName the name of the caller's key, if given
 * @param domain the failure domain in which it arrives, if given
 */
record ExplainQuery(
    String method,
    String path,
    Option<String> account,
    Option<String> keyName,
    Option<String> domain) {

  ExplainQuery(String method, String path, String account, String keyName, String domain) {
    this(method, path, Option.of(account), Option.of(keyName), Option.of(domain));
  }
}
