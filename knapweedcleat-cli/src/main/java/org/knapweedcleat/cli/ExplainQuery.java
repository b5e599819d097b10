package org.knapweedcleat.cli;

import io.vavr.control.Option;

/**
 * The request that an operator asks about.
 *
 * @param method the HTTP method
 * @param path the path
 * @param account the client account, if one is given
 * @param keyName the key's name, if one is given
 * @param domain the failure domain, if one is given
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
