package org.knapweedcleat.router.forward.codec;

/** What an endpoint's answer says of the request. */
public enum ReplyNature {
  /** The endpoint has not run the request and never will. */
  NOT_RUN,
  /** The answer belongs to another request. */
  FOREIGN,
  /** The endpoint's own answer, to be passed on unchanged. */
  GENUINE,
  /** A success that does not prove to be the endpoint's. */
  UNPROVED
}
