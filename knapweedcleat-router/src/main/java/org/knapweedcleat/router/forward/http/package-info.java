/** HTTP/1.1 towards callers and endpoints with strict framing, over the library's codec. */
package org.knapweedcleat.router.forward.http;
