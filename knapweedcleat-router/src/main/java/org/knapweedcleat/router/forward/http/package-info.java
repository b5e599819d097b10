/** HTTP/1.1 towards callers and endpoints with strict framing, based on Netty's codec. */
package org.knapweedcleat.router.forward.http;
